use base::{ByteCount, ByteRate, TimeSpan, TokenCount};

/// Speed, memory and limits of one engine.
///
/// A step takes `step_base_micros` plus a fixed time for each decoding sequence, for each
/// prefilled token and for each token in the KV cache, which attention reads. With the default profile 32 sequences of
/// 2,000 tokens decode in about 26 ms a step and 64 in about 37 ms; 64 such sequences fill
/// 85% of the memory.
///
/// ```
/// let profile = engine::EngineProfile::default();
/// assert!(profile.step_micros(32, 64_000, 0) > 20_000.0);
/// assert!(profile.step_micros(64, 128_000, 0) < 40_000.0);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Fixed time of a step, in microseconds.
    pub step_base_micros: f64,
    /// Added for each decoding sequence, in microseconds.
    pub micros_per_sequence: f64,
    /// Added for each prefilled token, in microseconds.
    pub micros_per_prefill_token: f64,
    /// Added for each token of the running sequences in the KV cache, in microseconds.
    pub micros_per_context_token: f64,
    /// Largest relative random deviation of a step from its computed time.
    pub step_jitter: f64,
    /// Most tokens of a step, decoded and prefilled together.
    pub step_tokens: u32,
    /// Most sequences that run at once.
    pub batch_limit: u32,
    /// Most requests that wait; further ones are refused.
    pub queue_limit: u32,
    /// Tokens that fit in a page.
    pub page_tokens: u32,
    /// Bytes of a page.
    pub page_bytes: ByteCount,
    /// Pages of the memory, weights included.
    pub memory_pages: u32,
    /// Pages that an admission must leave available, so that running sequences can grow.
    pub watermark_pages: u32,
    /// Rate at which weights are loaded.
    pub weight_rate: ByteRate,
    /// How long an ended generation can be read.
    pub retention: TimeSpan,
    /// Most ended generations that are retained.
    pub retention_limit: usize,
}

impl EngineProfile {
    /// Computes the time of a step in microseconds, without jitter.
    pub fn step_micros(&self, decoding: u32, context: u64, prefill: u32) -> f64 {
        self.step_base_micros
            + self.micros_per_sequence * f64::from(decoding)
            + self.micros_per_prefill_token * f64::from(prefill)
            + self.micros_per_context_token * context as f64
    }

    /// Returns how many pages hold `tokens`.
    pub fn pages_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.page_tokens)
    }

    /// Tokens that the whole memory holds if no weights are loaded.
    pub fn memory_tokens(&self) -> TokenCount {
        TokenCount(self.memory_pages * self.page_tokens)
    }
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            step_base_micros: 14_000.0,
            micros_per_sequence: 280.0,
            micros_per_prefill_token: 20.0,
            micros_per_context_token: 0.04,
            step_jitter: 0.03,
            step_tokens: 2_048,
            batch_limit: 256,
            queue_limit: 512,
            page_tokens: 16,
            page_bytes: ByteCount(2 << 20),
            memory_pages: 9_375,
            watermark_pages: 94,
            weight_rate: ByteRate(2_000_000_000),
            retention: TimeSpan::from_secs(60),
            retention_limit: 4_096,
        }
    }
}
