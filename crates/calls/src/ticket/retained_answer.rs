use std::sync::Arc;

use base::RanState;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// An HTTP response kept so that a resend of the request gets it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: SmolStr,
    /// The body as the first caller received it; for a stream, all events in order.
    pub body: Arc<[u8]>,
}

/// How the run of a request with a ticket or key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The request certainly did not run, so a resend may run it.
    NotRun,
    /// The request ran or may have run; this is its response, which may be an error.
    Answered(Arc<RetainedAnswer>),
    /// The request ran or may have run, and there is no response to retain.
    Unanswered(RanState),
}
