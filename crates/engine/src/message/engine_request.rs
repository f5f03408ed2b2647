use base::{RequestId, TokenCount};
use strum::{Display, EnumString};

use crate::WeightKey;

/// Priority of a request; a lower number runs first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EnginePriority(pub u8);

/// What an engine does with a sequence that it preempts because its memory is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum PreemptionPolicy {
    /// Put it back into the wait queue and recompute its tokens.
    #[default]
    Recompute,
    /// End it with an error.
    Fail,
}

/// Start of a prompt that other prompts may share, so that its KV cache can be reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SharedPrefix {
    /// Identifies the tokens: equal for prompts that start with the same ones.
    pub fingerprint: u64,
    /// Length of the prefix; only whole pages of it are cached.
    pub tokens: TokenCount,
}

/// One request to an engine.
///
/// ```
/// use base::TokenCount;
/// use engine::{EnginePriority, EngineRequest};
/// let request = EngineRequest::new("r1".parse().unwrap(), TokenCount(100), TokenCount(20))
///     .with_priority(EnginePriority(3));
/// assert_eq!(request.output_tokens, TokenCount(20));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Identifier chosen by the submitter.
    pub id: RequestId,
    /// Tokens of the prompt; zero counts as one.
    pub prompt_tokens: TokenCount,
    /// Prefix that may be in the prefix cache.
    pub prefix: Option<SharedPrefix>,
    /// Tokens that the engine will generate; zero counts as one.
    pub output_tokens: TokenCount,
    /// Priority for admission and preemption.
    pub priority: EnginePriority,
    /// What happens if the sequence is preempted.
    pub preemption_policy: PreemptionPolicy,
    /// Weights that must be loaded; `None` if the request needs none in particular.
    pub weights: Option<WeightKey>,
}

impl EngineRequest {
    /// Creates a request with default priority and preemption policy, without prefix or weights.
    pub fn new(id: RequestId, prompt_tokens: TokenCount, output_tokens: TokenCount) -> Self {
        Self {
            id,
            prompt_tokens,
            prefix: None,
            output_tokens,
            priority: EnginePriority::default(),
            preemption_policy: PreemptionPolicy::default(),
            weights: None,
        }
    }

    /// Returns this request with a shared prefix.
    #[must_use]
    pub fn with_prefix(mut self, prefix: SharedPrefix) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Returns this request with another priority.
    #[must_use]
    pub fn with_priority(mut self, priority: EnginePriority) -> Self {
        self.priority = priority;
        self
    }

    /// Returns this request with another preemption policy.
    #[must_use]
    pub fn with_preemption_policy(mut self, policy: PreemptionPolicy) -> Self {
        self.preemption_policy = policy;
        self
    }

    /// Returns this request with weights that must be loaded.
    #[must_use]
    pub fn with_weights(mut self, key: WeightKey) -> Self {
        self.weights = Some(key);
        self
    }
}
