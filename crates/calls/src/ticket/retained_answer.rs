use std::sync::Arc;

use base::RanState;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: SmolStr,
    /// The body as the first caller got it; a stream's events in order.
    pub body: Arc<[u8]>,
}

/// How a run under a ticket or key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It certainly did not run, so a resend may.
    NotRun,
    /// It ran or may have run, and this is its answer, which may be an error.
    Answered(Arc<RetainedAnswer>),
    /// It ran or may have run, and there is no answer to retain.
    Unanswered(RanState),
}
