use base::{GenerationId, RequestId, TokenCount};
use strum::{Display, IntoStaticStr};

use crate::{EngineTime, WeightKey};

/// Why an engine took a request not at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The waiting queue is full.
    QueueFull,
    /// The prompt doesn't fit in the memory.
    PromptTooLong,
    /// The weights are not loaded.
    NotLoaded,
}

/// Why an engine gave up a request that it had taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum FailReason {
    /// It was preempted under `FullRule::Fail`.
    Preempted,
    /// The sequence alone no longer fits in the memory.
    MemoryFull,
}

/// One event of an engine with the moment at which it took place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    /// When it took place.
    pub at: EngineTime,
    /// What took place.
    pub detail: EventDetail,
}

/// What took place in an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventDetail {
    /// A request entered the batch for the first time; `cached` prompt tokens came from the
    /// prefix cache.
    Admitted {
        /// Request concerned.
        request: RequestId,
        /// Its generation.
        generation: GenerationId,
        /// Prompt tokens found in the prefix cache.
        cached: TokenCount,
    },
    /// A token was generated.
    Token {
        /// Request concerned.
        request: RequestId,
        /// Its generation.
        generation: GenerationId,
        /// Position of the token in the output, from zero.
        offset: u32,
    },
    /// The last token was generated.
    Finished {
        /// Request concerned.
        request: RequestId,
        /// Its generation.
        generation: GenerationId,
        /// Tokens of the output.
        count: TokenCount,
    },
    /// A sequence was evicted from the memory; counted whether it is recomputed or failed.
    Preempted {
        /// Request concerned.
        request: RequestId,
        /// Tokens to compute again; zero if the sequence fails.
        recomputed: TokenCount,
    },
    /// A request was given up after it was taken.
    Failed {
        /// Request concerned.
        request: RequestId,
        /// Its generation.
        generation: GenerationId,
        /// Why.
        reason: FailReason,
        /// Tokens generated until then.
        count: TokenCount,
    },
    /// A request was not taken.
    Refused {
        /// Request concerned.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
    },
    /// A prefix entered the cache.
    CacheStored {
        /// Fingerprint of the prefix.
        fingerprint: u64,
    },
    /// A prefix left the cache.
    CacheEvicted {
        /// Fingerprint of the prefix.
        fingerprint: u64,
    },
    /// Weights are ready for requests.
    WeightsLoaded(WeightKey),
    /// Weights left the memory.
    WeightsUnloaded(WeightKey),
}
