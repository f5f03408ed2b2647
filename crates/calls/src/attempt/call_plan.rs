use base::{ClockTime, GenerationId, RequestId, TargetName, TimeSpan};

use crate::BackoffPolicy;

/// Numbers the connections of one call, so that events of an abandoned one are recognised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNumber(pub u32);

/// How the answer reaches the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerMode {
    /// Each token is passed on as it arrives.
    Streamed,
    /// The answer is collected and sent as one; it may be rerun until `AnswerCommitted`.
    Whole,
}

/// Where a caller with `Last-Event-ID` continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Target that holds the generation.
    pub target: TargetName,
    /// The generation that the caller was reading.
    pub generation: GenerationId,
    /// Offset of the first token that the caller does not have.
    pub next: u64,
}

/// Limits of the attempts of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPolicy {
    /// Delay before a repeated attempt or resume.
    pub backoff: BackoffPolicy,
    /// Attempts in all, the first one included.
    pub attempt_limit: u32,
    /// Resumes in a row that yield no new token.
    pub resume_limit: u32,
    /// Time for a connection to be set up.
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

/// What is known of a call before its first attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPlan {
    /// The request.
    pub request: RequestId,
    /// Declared repeatable; an undeclared request is not.
    pub repeatable: bool,
    /// The target can resume a generation at an offset; plain services can't.
    pub resumable: bool,
    /// The work goes on when the caller leaves or its deadline passes.
    pub uninterruptible: bool,
    /// Streamed or whole.
    pub mode: AnswerMode,
    /// When the caller stops waiting.
    pub deadline: Option<ClockTime>,
    /// Set if the caller continues a generation.
    pub resume: Option<ResumePoint>,
    /// Limits of the attempts.
    pub policy: CallPolicy,
    /// Seed of the jitter.
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
