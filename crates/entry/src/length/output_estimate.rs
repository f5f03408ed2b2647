use base::TokenCount;

/// Median of output lengths as a share of the output limit, when nothing else is known.
const MEDIAN_SHARE: f64 = 0.3;
/// Weight of the caller's hint against the median, on a logarithmic scale. Hints are right in the
/// median, but one in three is off by a factor of three; lengths are off from their median by a
/// factor of two as often.
const HINT_WEIGHT: f64 = 0.3;
/// Ratio of the mean to the median of output lengths, whose distribution is skewed.
const MEAN_FACTOR: f64 = 1.2;
/// Share of the tokens left up to the limit that an output is expected to use once it has outgrown
/// its estimate.
const REST_SHARE: f64 = 0.45;
/// Share of its output that a generation holds in memory, averaged over its run time.
const HELD_SHARE: f64 = 0.55;
/// Highest output limit of a quick call.
const QUICK_OUTPUT: u32 = 64;

/// Estimated length of one output, from its limit and the caller's hint.
///
/// Once the generation has produced more than that, the estimate follows from the limit and the
/// tokens produced.
///
/// Hints are often far too low. If they were trusted, an engine would be filled with generations
/// whose outputs are ten times as long as hinted, and running generations would be preempted.
///
/// ```
/// use base::TokenCount;
/// let estimate = entry::OutputEstimate::new(TokenCount(2_000), Some(TokenCount(20)));
/// assert!(estimate.expected().0 > 100);
/// assert!(estimate.with_progress(TokenCount(1_000)).expected().0 > 1_400);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutputEstimate {
    limit: TokenCount,
    expected: TokenCount,
}

impl OutputEstimate {
    /// Estimates the length of an output that has not begun.
    pub fn new(limit: TokenCount, hint: Option<TokenCount>) -> Self {
        let median = f64::from(limit.0) * MEDIAN_SHARE;
        let hint = hint.map_or(median, |hint| f64::from(hint.0.max(1)));
        let mean = median.powf(1.0 - HINT_WEIGHT) * hint.powf(HINT_WEIGHT) * MEAN_FACTOR;
        let expected = TokenCount((mean as u32).min(limit.0));
        Self { limit, expected }
    }

    /// Estimate after `produced` tokens of output: unchanged until these reach the expected length.
    #[must_use]
    pub fn with_progress(self, produced: TokenCount) -> Self {
        if produced < self.expected {
            return self;
        }
        let left = self.limit.0.saturating_sub(produced.0);
        let rest = f64::from(left) * REST_SHARE;
        Self {
            expected: TokenCount(produced.0 + rest as u32),
            ..self
        }
    }

    /// Expected length of the whole output in tokens.
    pub fn expected(self) -> TokenCount {
        self.expected
    }

    /// Output tokens that the generation holds in the engine's memory, averaged over its run time.
    ///
    /// The generations of an engine do not end at the same time, so the memory that they hold
    /// together stays near the sum of these averages.
    pub fn mean_held(self) -> u64 {
        (f64::from(self.expected.0) * HELD_SHARE) as u64
    }

    /// Expected length of an output that holds `held` tokens on average.
    pub fn output_of_held(held: u64) -> u64 {
        (held as f64 / HELD_SHARE) as u64
    }

    /// Whether the output limit is so low that the output is short in any case.
    pub fn is_quick(self) -> bool {
        self.limit.0 <= QUICK_OUTPUT
    }
}
