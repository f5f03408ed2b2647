use std::hash::{DefaultHasher, Hash, Hasher};

use base::{RequestId, TokenCount};
use engine::{EnginePriority, EngineRequest, SharedPrefix, WeightKey};
use rand::{Rng, SeedableRng};
use rand_distr::LogNormal;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde_json::Value;
use smol_str::SmolStr;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Bytes at the start of a prompt that form its prefix in the prefix cache.
const PREFIX_BYTES: usize = 256;
/// Most output tokens of a call without `max_tokens`.
const MAX_OUTPUT_TOKENS: u32 = 30_000;

/// Fields of a request body that the stand-in engine reads.
#[derive(Debug, Deserialize)]
pub struct CallBody {
    /// Weights as `MODEL:VERSION` or `MODEL:VERSION+ADAPTER`.
    #[serde(default)]
    pub model: String,
    /// Prompt of a completion.
    #[serde(default)]
    pub prompt: Value,
    /// Messages of a chat completion.
    #[serde(default)]
    pub messages: Value,
    /// Most output tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Priority; a lower number runs first.
    #[serde(default)]
    pub priority: u8,
    /// Request identifier assigned by the node.
    #[serde(default)]
    pub request_id: Option<RequestId>,
    /// Number of output tokens, set by load tools; real engines ignore it.
    #[serde(default)]
    pub stand_in_tokens: Option<u32>,
    /// Identifier chosen by the caller, by which history checks find the call.
    #[serde(default)]
    pub stand_in_mark: SmolStr,
}

impl CallBody {
    /// Returns the prompt or the messages as text.
    pub fn prompt_text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Value::String(text), _) => text.clone(),
            (Value::Null, messages) => messages.to_string(),
            (prompt, _) => prompt.to_string(),
        }
    }

    /// Converts the body to a request to the engine simulator.
    pub fn to_engine_request(&self, request: RequestId, prompt: &str) -> EngineRequest {
        let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN).max(1);
        let prompt_tokens = TokenCount(u32::try_from(prompt_tokens).unwrap_or(u32::MAX));
        let output_tokens = TokenCount(self.output_tokens(prompt));
        let mut request = EngineRequest::new(request, prompt_tokens, output_tokens);
        request.priority = EnginePriority(self.priority);
        request.weights = parse_weight_key(&self.model);
        request.prefix = shared_prefix(prompt);
        request
    }

    fn output_tokens(&self, prompt: &str) -> u32 {
        let limit = self.max_tokens.unwrap_or(MAX_OUTPUT_TOKENS).max(1);
        let wanted = self.stand_in_tokens;
        wanted
            .unwrap_or_else(|| sample_output_length(prompt))
            .clamp(1, limit)
    }
}

/// Samples a number of output tokens from a generator seeded with the prompt, so that equal prompts
/// get equal lengths.
fn sample_output_length(prompt: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    let mut random = Pcg64Mcg::seed_from_u64(hasher.finish());
    // A median of 55 tokens and a p99 of about 560.
    let Ok(lengths) = LogNormal::new(4.0, 1.0) else {
        return 1;
    };
    let length: f64 = random.sample(lengths);
    length as u32
}

fn shared_prefix(prompt: &str) -> Option<SharedPrefix> {
    let head = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = DefaultHasher::new();
    head.hash(&mut hasher);
    let tokens = TokenCount((PREFIX_BYTES / BYTES_PER_TOKEN) as u32);
    Some(SharedPrefix {
        fingerprint: hasher.finish(),
        tokens,
    })
}

/// Parses `MODEL:VERSION` or `MODEL:VERSION+ADAPTER`.
pub fn parse_weight_key(text: &str) -> Option<WeightKey> {
    let (model, rest) = text.split_once(':')?;
    let (version, adapter) = match rest.split_once('+') {
        Some((version, adapter)) => (version, Some(adapter)),
        None => (rest, None),
    };
    let key = WeightKey::new(model.parse().ok()?, version.parse().ok()?);
    match adapter {
        Some(adapter) => Some(key.with_adapter(adapter.parse().ok()?)),
        None => Some(key),
    }
}
