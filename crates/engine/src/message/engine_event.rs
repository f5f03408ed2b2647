use base::{GenerationId, RequestId, TokenCount};
use strum::{Display, IntoStaticStr};

use crate::{EngineTime, WeightKey};

/// Why an engine refused a request at submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The wait queue is full.
    QueueFull,
    /// The prompt doesn't fit in the memory.
    PromptTooLong,
    /// The weights are not loaded.
    NotLoaded,
}

/// Why an engine failed a request that it had accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FailureReason {
    /// The request was preempted and its policy is `PreemptionPolicy::Fail`.
    Preempted,
    /// The sequence does not fit in the memory, even with no other one running.
    MemoryFull,
}

/// One event of an engine with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    /// Time of the event.
    pub at: EngineTime,
    /// What happened.
    pub detail: EventDetail,
}

/// What happened in an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventDetail {
    /// A request entered the batch for the first time; `cached` prompt tokens came from the
    /// prefix cache.
    Admitted {
        /// Request concerned.
        request: RequestId,
        /// Generation of the request.
        generation: GenerationId,
        /// Prompt tokens found in the prefix cache.
        cached: TokenCount,
    },
    /// A token was generated.
    Token {
        /// Request concerned.
        request: RequestId,
        /// Generation of the request.
        generation: GenerationId,
        /// Position of the token in the output, from zero.
        offset: u32,
    },
    /// The last token was generated.
    Finished {
        /// Request concerned.
        request: RequestId,
        /// Generation of the request.
        generation: GenerationId,
        /// Tokens of the output.
        count: TokenCount,
    },
    /// A sequence lost its memory pages; recorded whether it is recomputed or failed.
    Preempted {
        /// Request concerned.
        request: RequestId,
        /// Tokens to compute again; zero if the sequence fails.
        recomputed: TokenCount,
    },
    /// An accepted request failed.
    Failed {
        /// Request concerned.
        request: RequestId,
        /// Generation of the request.
        generation: GenerationId,
        /// Cause.
        reason: FailureReason,
        /// Tokens generated before the failure.
        count: TokenCount,
    },
    /// A request was refused at submission.
    Refused {
        /// Request concerned.
        request: RequestId,
        /// Cause.
        reason: RefusalReason,
    },
    /// A prefix was added to the cache.
    CacheStored {
        /// Fingerprint of the prefix.
        fingerprint: u64,
    },
    /// A prefix was evicted from the cache.
    CacheEvicted {
        /// Fingerprint of the prefix.
        fingerprint: u64,
    },
    /// Weights have been loaded and can be used by requests.
    WeightsLoaded(WeightKey),
    /// Weights have been unloaded and their pages freed.
    WeightsUnloaded(WeightKey),
}
