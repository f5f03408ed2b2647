use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{ErrorResponse, RanState, RetryAdvice, TimeSpan};

/// Kind of error in a response to a caller; its name in snake case is the `code` of the error.
///
/// ```
/// use base::{ErrorKind, RanState};
/// let response = ErrorKind::UnknownKey.response();
/// assert_eq!((response.status, response.ran), (401, RanState::No));
/// assert_eq!(ErrorKind::UnknownKey.to_string(), "unknown_key");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is not valid HTTP, JSON or UTF-8, or a field has a wrong value.
    BadRequest,
    /// The bearer key is missing or belongs to no workspace.
    UnknownKey,
    /// The path, model or service does not exist or is not open to this workspace.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The caller sent its request too slowly.
    RequestTimeout,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The ticket was not issued by this system or has expired.
    BadTicket,
    /// The only node that may run the request of this ticket or key has failed or can't be reached.
    OwnerUnreachable,
    /// The node responsible for this idempotency key can't rule out that the request ran before.
    KeyUncertain,
    /// The first request with this ticket or key has ended and its response is no longer stored.
    AnswerGone,
    /// The workspace has too many requests waiting or streams open.
    WorkspaceLimit,
    /// All targets are at capacity; the request was refused before it was sent to one.
    Overloaded,
    /// There is no live target that the declaration allows for this request.
    NoTarget,
    /// No node that answers has a network path to a target of the service; the request was not sent.
    TargetsUnreachable,
    /// Earlier requests with the same content crashed the targets that ran them.
    CrashSuspect,
    /// The deadline passed before the response was complete.
    DeadlineExceeded,
    /// A retry was needed and the retry budget is used up.
    RetriesExhausted,
    /// The target failed after it may have started the request.
    TargetLost,
    /// The target ran the request, and its response is larger than the limit or the memory left.
    ResponseTooLarge,
    /// The node stopped before the response was complete.
    Interrupted,
    /// The generation was lost after part of it had been delivered.
    GenerationLost,
    /// The target responded with an error of its own.
    TargetFailed,
    /// The node is stopping and accepts no new requests.
    Stopping,
    /// The node has not accepted a declaration yet.
    NotReady,
    /// The node itself failed.
    Internal,
}

const NEVER: RetryAdvice = RetryAdvice::Never;
const SOON: RetryAdvice = RetryAdvice::After(TimeSpan::from_secs(1));
const LATER: RetryAdvice = RetryAdvice::After(TimeSpan::from_secs(5));
/// Crash marks expire after ten minutes.
const CRASH_EXPIRY: RetryAdvice = RetryAdvice::After(TimeSpan::from_secs(600));

impl ErrorKind {
    /// Whether the request itself is invalid, so that no attempt of it can ever have run.
    pub const fn is_invalid_input(self) -> bool {
        matches!(
            self,
            Self::BadRequest
                | Self::UnknownKey
                | Self::MethodNotAllowed
                | Self::BodyTooLarge
                | Self::HeadersTooLarge
                | Self::RequestTimeout
        )
    }

    /// Returns the default status, run state, retry advice and category for this kind.
    pub const fn response(self) -> ErrorResponse {
        use RanState::{No, Unknown, Yes};
        let (status, ran, retry, category) = match self {
            Self::BadRequest => (400, No, NEVER, "invalid_request_error"),
            Self::UnknownKey => (401, No, NEVER, "authentication_error"),
            Self::NotFound => (404, No, NEVER, "invalid_request_error"),
            Self::MethodNotAllowed => (405, No, NEVER, "invalid_request_error"),
            Self::RequestTimeout => (408, No, SOON, "invalid_request_error"),
            Self::BodyTooLarge => (413, No, NEVER, "invalid_request_error"),
            Self::HeadersTooLarge => (431, No, NEVER, "invalid_request_error"),
            Self::KeyReused => (422, No, NEVER, "invalid_request_error"),
            Self::BadTicket => (400, No, NEVER, "invalid_request_error"),
            Self::OwnerUnreachable => (503, Unknown, LATER, "server_error"),
            Self::KeyUncertain => (503, Unknown, LATER, "server_error"),
            Self::AnswerGone => (410, Yes, NEVER, "invalid_request_error"),
            Self::WorkspaceLimit => (429, No, SOON, "rate_limit_error"),
            Self::Overloaded => (429, No, SOON, "rate_limit_error"),
            Self::NoTarget => (503, No, LATER, "server_error"),
            Self::TargetsUnreachable => (503, No, SOON, "server_error"),
            Self::CrashSuspect => (422, No, CRASH_EXPIRY, "invalid_request_error"),
            Self::DeadlineExceeded => (504, Unknown, SOON, "server_error"),
            Self::RetriesExhausted => (503, Unknown, LATER, "server_error"),
            Self::TargetLost => (502, Unknown, SOON, "server_error"),
            Self::ResponseTooLarge => (502, Yes, NEVER, "server_error"),
            Self::Interrupted => (502, Unknown, SOON, "server_error"),
            Self::GenerationLost => (502, Yes, SOON, "server_error"),
            Self::TargetFailed => (502, Unknown, SOON, "server_error"),
            Self::Stopping => (503, No, SOON, "server_error"),
            Self::NotReady => (503, No, SOON, "server_error"),
            Self::Internal => (500, Unknown, LATER, "server_error"),
        };
        ErrorResponse {
            status,
            ran,
            retry,
            category,
        }
    }
}
