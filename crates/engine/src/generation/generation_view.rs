use base::{GenerationId, RequestId, TokenCount};

use crate::{EngineTime, FailReason};

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationEnd {
    /// All tokens were generated.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The engine gave it up.
    Failed(FailReason),
}

/// What can be read of a generation: the tokens from zero to `produced`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationView {
    /// Request that it belongs to.
    pub request: RequestId,
    /// Its identifier.
    pub generation: GenerationId,
    /// Tokens generated so far.
    pub produced: TokenCount,
    /// How it ended; `None` while it waits or runs.
    pub end: Option<GenerationEnd>,
    /// When it ended.
    pub ended_at: Option<EngineTime>,
}

impl GenerationView {
    /// Offsets that a reader which has the tokens before `offset` still wants.
    pub fn offsets_from(&self, offset: u32) -> std::ops::Range<u32> {
        offset.min(self.produced.0)..self.produced.0
    }
}
