use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::TimeSpan;

/// Whether a failed request ran, as stated to the caller.
///
/// ```
/// assert_eq!(base::RanState::Unknown.to_string(), "unknown");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RanState {
    /// It certainly did not run.
    No,
    /// It ran, in part or in whole.
    Yes,
    /// It may have run.
    Unknown,
}

/// When a caller may retry the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Not at all; the same request will fail again.
    Never,
    /// After this time.
    After(TimeSpan),
}

/// Default content of the response to a caller for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, unless more is known about the single call.
    pub ran: RanState,
    /// When to retry, unless more is known about the single call.
    pub retry: RetryAdvice,
    /// Value of `type` in the OpenAI error object.
    pub category: &'static str,
}
