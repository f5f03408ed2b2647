use base::{ClockTime, GenerationId, RequestId, TargetName, TimeSpan};

use crate::BackoffPolicy;

/// Number of a connection within one call; identifies late events of an abandoned connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u32);

/// How the answer reaches the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMode {
    /// Each token is forwarded as it arrives.
    Streamed,
    /// The answer is collected and sent as a whole; until `AnswerCommitted` another generation may
    /// replace it.
    Buffered,
}

/// Position from which a caller that sent `Last-Event-ID` continues a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Target that holds the generation.
    pub target: TargetName,
    /// The generation that the caller was reading.
    pub generation: GenerationId,
    /// Offset of the first token that the caller does not have.
    pub next_offset: u64,
}

/// Limits on the attempts and resumes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPolicy {
    /// Delay before a repeated attempt or resume.
    pub backoff: BackoffPolicy,
    /// Maximum number of attempts, including the first.
    pub attempt_limit: u32,
    /// Maximum number of consecutive resumes that yield no new token.
    pub resume_limit: u32,
    /// Maximum time to establish a connection.
    pub connect_timeout: TimeSpan,
}

impl Default for CallPolicy {
    fn default() -> Self {
        Self {
            backoff: BackoffPolicy::default(),
            attempt_limit: 3,
            resume_limit: 4,
            connect_timeout: TimeSpan::from_secs(1),
        }
    }
}

/// Properties of a call that are known before its first attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPlan {
    /// Id of the request.
    pub request: RequestId,
    /// The request is declared safe to run more than once; without a declaration it is not.
    pub repeatable: bool,
    /// The target can resume a generation at an offset; plain services cannot.
    pub resumable: bool,
    /// Work that may have started continues when the caller disconnects or the deadline passes.
    pub uninterruptible: bool,
    /// How the answer reaches the caller.
    pub mode: AnswerMode,
    /// When the caller stops waiting.
    pub deadline: Option<ClockTime>,
    /// Set if the caller continues an existing generation.
    pub resume: Option<ResumePoint>,
    /// Limits on attempts and resumes.
    pub policy: CallPolicy,
    /// Seed of the random backoff delays.
    pub seed: u64,
}

impl CallPlan {
    /// Creates the plan of a streamed, resumable call that is not repeatable.
    pub fn new(request: RequestId) -> Self {
        Self {
            request,
            repeatable: false,
            resumable: true,
            uninterruptible: false,
            mode: AnswerMode::Streamed,
            deadline: None,
            resume: None,
            policy: CallPolicy::default(),
            seed: 0,
        }
    }
}
