use std::net::SocketAddr;

use base::{CallRate, ErrorKind, PartId, RequestId, TargetName, TimeSpan, TokenCount};
use entry::{OutputEstimate, RefusalLimit};
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use snafu::Snafu;

/// Size of a generation as stated by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationSize {
    /// Number of prompt tokens.
    pub prompt: TokenCount,
    /// Largest number of output tokens.
    pub output_limit: TokenCount,
    /// The caller's estimate of the output, accurate at the median but often far off.
    pub output_hint: Option<TokenCount>,
}

impl GenerationSize {
    /// Estimate of the output length.
    pub fn output_estimate(&self) -> OutputEstimate {
        OutputEstimate::new(self.output_limit, self.output_hint)
    }
}

/// Values that are read from the headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Identifier of this attempt of the caller.
    pub request_id: RequestId,
    /// Time for which the caller still waits, if it states one.
    pub remaining: Option<TimeSpan>,
    /// Bearer key of the caller's workspace.
    pub key: Option<SmolStr>,
    /// Size of the generation; `None` if the call is no generation.
    pub generation: Option<GenerationSize>,
    /// Parts of the prompt that other calls may share, in their order in the prompt. The last part of
    /// a prompt belongs to the call alone and is left out.
    pub shared_parts: Vec<PartId>,
}

/// Copy of a generation's KV cache from which another engine resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Address of the engine that stopped and made the copy.
    pub source: SocketAddr,
    /// Handle of the copy at the source.
    pub handle: SmolStr,
    /// Identifier of the last event that the caller got.
    pub last_event_id: Option<SmolStr>,
}

/// Values that are written to the headers of a request to a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetHeaders<'a> {
    /// Time that the target may take.
    pub remaining: TimeSpan,
    /// The only target that may run the call.
    pub target: &'a TargetName,
    /// Workspace of the caller, as the operators name it.
    pub workspace: Option<&'a str>,
    /// Scheduling urgency at an engine, 0 first; engines assume the middle without it.
    pub urgency: Option<u8>,
    /// Copy to resume from; `None` if the call starts anew.
    pub resume: Option<&'a ResumePoint>,
}

/// Back-off that a target asks for when it refuses a call: how long this node should send it nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackoffRequest {
    /// For this time.
    For(TimeSpan),
    /// For a time that can't be parsed; holds the text of the header.
    Unparsable(SmolStr),
}

/// What a response says about the rate of calls that its target accepts from all nodes together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RateNotice {
    /// It names no rate.
    Unlimited,
    /// At most this rate.
    Limited(CallRate),
    /// A rate that can't be parsed; holds the text of the header.
    Unparsable(SmolStr),
}

/// What a response says about the calls that its target may refuse before it fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RefusalNotice {
    /// Any number.
    Unlimited,
    /// At most so many a second.
    Limited(RefusalLimit),
    /// A number that can't be parsed; holds the text of the header.
    Unparsable(SmolStr),
}

/// Values that are read from the headers of a target's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Whether the target states that it did not run the call.
    pub is_refused: bool,
    /// Whether the response is marked as the target's own, belongs to this call and has a form that
    /// callers accept.
    pub is_genuine: bool,
    /// Whether another target, which has the address by now, sent the response.
    pub is_misdirected: bool,
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
    /// Back-off that the target asks for along with a refusal.
    pub backoff: Option<BackoffRequest>,
    /// Rate of calls that the target accepts; `None` if another target sent the response, or for a
    /// failure that names no rate.
    pub rate: Option<RateNotice>,
    /// Calls that the target may refuse; `None` if another target sent the response.
    pub refusals: Option<RefusalNotice>,
}

/// A header of a request is missing or malformed.
#[derive(Debug, Snafu)]
#[snafu(
    display("header {name}: found {found:?}, expected {expected}"),
    visibility(pub)
)]
pub struct HeaderError {
    /// Name of the header.
    pub name: &'static str,
    /// Value that was found.
    pub found: String,
    /// Description of the accepted values.
    pub expected: &'static str,
}

/// Reads and writes the platform's headers of requests and responses.
pub trait HeaderCodec: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    /// If the identifier is missing or a value is malformed.
    fn read_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderError>;

    /// Turns the caller's headers into those for a target: removes the headers that callers must not
    /// set, and sets the values of `target_headers`.
    fn write_target_headers(&self, headers: &mut HeaderMap, target_headers: &TargetHeaders<'_>);

    /// Reads the headers of a target's response to the request `request_id`.
    fn read_response_headers(
        &self,
        request_id: &RequestId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> ResponseHeaders;

    /// Whether headers or trailers of a response say that its target is leaving.
    fn announces_leaving(&self, headers: &HeaderMap) -> bool;

    /// Status code of the response to callers for an error of this node.
    fn error_status(&self, kind: ErrorKind) -> StatusCode;

    /// Sets the `Retry-After` header of a response to a caller.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: TimeSpan);
}
