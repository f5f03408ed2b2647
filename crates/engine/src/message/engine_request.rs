use base::{RequestId, TokenCount};
use strum::{Display, EnumString};

use crate::WeightKey;

/// Priority of a request; a lower number runs first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EnginePriority(pub u8);

/// What an engine does with a sequence that it evicts from its full memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum FullRule {
    /// Queue it again and compute its tokens anew.
    #[default]
    Recompute,
    /// End it with an error.
    Fail,
}

/// Start of a prompt that other prompts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrefixChain {
    /// Equal for prompts that share these tokens.
    pub fingerprint: u64,
    /// Length of the shared start; the cache holds whole pages of it.
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
    /// Identifier chosen by the sender.
    pub id: RequestId,
    /// Tokens of the prompt; at least one is assumed.
    pub prompt_tokens: TokenCount,
    /// Start of the prompt that the cache may hold.
    pub prefix: Option<PrefixChain>,
    /// Tokens that the engine will generate; at least one is assumed.
    pub output_tokens: TokenCount,
    /// Priority at admission and preemption.
    pub priority: EnginePriority,
    /// What happens when the memory is full.
    pub on_full: FullRule,
    /// Weights that have to be loaded; `None` if the request doesn't care.
    pub weights: Option<WeightKey>,
}

impl EngineRequest {
    /// Creates a request of default priority without a shared prefix.
    pub fn new(id: RequestId, prompt_tokens: TokenCount, output_tokens: TokenCount) -> Self {
        Self {
            id,
            prompt_tokens,
            prefix: None,
            output_tokens,
            priority: EnginePriority::default(),
            on_full: FullRule::default(),
            weights: None,
        }
    }

    /// Returns this request with a shared prefix.
    #[must_use]
    pub fn with_prefix(mut self, prefix: PrefixChain) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Returns this request with another priority.
    #[must_use]
    pub fn with_priority(mut self, priority: EnginePriority) -> Self {
        self.priority = priority;
        self
    }

    /// Returns this request with another rule for a full memory.
    #[must_use]
    pub fn with_full_rule(mut self, rule: FullRule) -> Self {
        self.on_full = rule;
        self
    }

    /// Returns this request bound to weights.
    #[must_use]
    pub fn with_weights(mut self, key: WeightKey) -> Self {
        self.weights = Some(key);
        self
    }
}
