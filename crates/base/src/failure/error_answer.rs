use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::TimeSpan;

/// Whether the request ran, as far as the caller may rely on it.
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

/// When a caller may send the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// The same request will fail again.
    Never,
    /// After this time.
    After(TimeSpan),
}

/// What a caller gets for an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, unless the call itself knows better.
    pub ran: RanState,
    /// When to come back, unless the call itself knows better.
    pub retry: RetryAdvice,
    /// Value of `type` in the OpenAI error object.
    pub category: &'static str,
}
