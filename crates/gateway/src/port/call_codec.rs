use std::net::SocketAddr;

use base::{ErrorKind, RequestId, TargetName, TimeSpan, TokenCount, WorkspaceName};
use entry::OutputEstimate;
use http::{HeaderMap, StatusCode};
use smol_str::SmolStr;
use snafu::Snafu;

/// Size of a generation as its caller states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Largest number of output tokens.
    pub output_limit: TokenCount,
    /// The caller's estimate of the output, accurate at the median but often far off.
    pub output_hint: Option<TokenCount>,
}

impl GenerationSize {
    /// Expected length of the output.
    pub fn guess(&self) -> OutputEstimate {
        OutputEstimate::new(self.output_limit, self.output_hint)
    }
}

/// What the headers of a caller's request say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Identifier of this attempt of the caller.
    pub request: RequestId,
    /// How long the caller still waits.
    pub remaining: Option<TimeSpan>,
    /// Key of the caller's workspace.
    pub key: Option<SmolStr>,
    /// Present if the call is a generation.
    pub generation: Option<GenerationSize>,
}

/// Where a generation goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Engine that stopped and made the copy.
    pub source: SocketAddr,
    /// Copy to go on from.
    pub handle: SmolStr,
    /// Last event that the caller got.
    pub last_event: Option<SmolStr>,
}

/// What a target is told beside the caller's own request.
#[derive(Clone, Copy, Debug)]
pub struct SendHead<'a> {
    /// How long the target may work.
    pub remaining: TimeSpan,
    /// The only target that may run the call.
    pub target: &'a TargetName,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceName>,
    /// Rank at an engine, 0 first; engines assume the middle without it.
    pub urgency: Option<u8>,
    /// Present if a generation goes on.
    pub resume: Option<&'a ResumePoint>,
}

/// How long a target that turned a call away wants nothing from this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuietAsk {
    /// For this time.
    For(TimeSpan),
    /// For a time that can't be understood.
    Unclear(SmolStr),
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The target states that it did not run the call.
    pub is_refused: bool,
    /// The answer is marked as the target's own, for this call, in a form that callers accept.
    pub is_genuine: bool,
    /// The target says that it leaves.
    pub is_leaving: bool,
    /// The target turned the call away and wants nothing for a while.
    pub quiet: Option<QuietAsk>,
}

/// The headers of a request can't be understood.
#[derive(Debug, Snafu)]
#[snafu(
    display("header {name}: found {found:?}, expected {expected}"),
    visibility(pub)
)]
pub struct HeadMistake {
    /// Name of the header.
    pub name: &'static str,
    /// What was found.
    pub found: String,
    /// What would have been accepted.
    pub expected: &'static str,
}

/// Translates the headers of calls and answers.
pub trait CallCodec: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    /// If the identifier is missing or a value has another form.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, HeadMistake>;

    /// Turns the caller's headers into those for a target: removes what only the system may set,
    /// and sets it.
    fn write_call(&self, headers: &mut HeaderMap, head: &SendHead<'_>);

    /// Reads the head of a target's answer to `request`.
    fn read_answer(
        &self,
        request: &RequestId,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerHead;

    /// Whether headers or trailers of an answer say that its target leaves.
    fn says_leaving(&self, headers: &HeaderMap) -> bool;

    /// Status with which callers are told of a failure.
    fn failure_status(&self, kind: ErrorKind) -> StatusCode;

    /// Tells the caller when to come back.
    fn write_retry_after(&self, headers: &mut HeaderMap, wait: TimeSpan);
}
