use base::{GenerationId, RequestId, TokenCount};

use crate::{EngineTime, FailureReason};

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GenerationEnd {
    /// All tokens were generated.
    Finished,
    /// It was cancelled.
    Cancelled,
    /// The engine stopped it because of an error.
    Failed(FailureReason),
}

/// State of a generation at one time; the tokens at offsets below `produced` can be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationSnapshot {
    /// Request that the generation belongs to.
    pub request: RequestId,
    /// Identifier of the generation.
    pub generation: GenerationId,
    /// Tokens generated so far.
    pub produced: TokenCount,
    /// How it ended; `None` while it waits or runs.
    pub end: Option<GenerationEnd>,
    /// When it ended; `None` while it waits or runs.
    pub ended_at: Option<EngineTime>,
}

impl GenerationSnapshot {
    /// Offsets of the tokens that a reader still needs if it has all tokens before `offset`.
    pub fn offsets_from(&self, offset: u32) -> std::ops::Range<u32> {
        offset.min(self.produced.0)..self.produced.0
    }
}
