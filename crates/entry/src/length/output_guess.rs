use base::TokenCount;

/// Median of outputs as a share of their limit, when nothing else is known.
const MEDIAN_SHARE: f64 = 0.3;
/// Weight of a caller's estimate against the median, on logarithms; estimates are right at the
/// median and off by a factor of three in one of three calls, lengths by a factor of two.
const HINT_WEIGHT: f64 = 0.3;
/// Mean of a skewed length over its median.
const MEAN_FACTOR: f64 = 1.2;
/// Share of what is left to the limit that an output is expected to take on once it has outgrown
/// its guess.
const REST_SHARE: f64 = 0.45;
/// Mean share of its output that a generation holds in memory, over the time that it runs.
const HELD_SHARE: f64 = 0.55;
/// Largest output of a quick call.
const QUICK_OUTPUT: u32 = 64;

/// Expected length of one output: from its limit and its caller's estimate at first, from its
/// progress once that went beyond.
///
/// Load: generations whose estimates are often far off. Believed as they are, estimates fill an
/// engine with answers ten times as long as they say, and running ones are preempted.
///
/// ```
/// use base::TokenCount;
/// let guess = entry::OutputGuess::new(TokenCount(2_000), Some(TokenCount(20)));
/// assert!(guess.expected().0 > 100);
/// assert!(guess.after(TokenCount(1_000)).expected().0 > 1_400);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutputGuess {
    limit: TokenCount,
    expected: TokenCount,
}

impl OutputGuess {
    /// Guesses the length of an output that has not begun.
    pub fn new(limit: TokenCount, hint: Option<TokenCount>) -> Self {
        let median = f64::from(limit.0) * MEDIAN_SHARE;
        let hint = hint.map_or(median, |hint| f64::from(hint.0.max(1)));
        let guess = median.powf(1.0 - HINT_WEIGHT) * hint.powf(HINT_WEIGHT) * MEAN_FACTOR;
        let expected = TokenCount((guess as u32).min(limit.0));
        Self { limit, expected }
    }

    /// Guess after `made` tokens.
    #[must_use]
    pub fn after(self, made: TokenCount) -> Self {
        if made < self.expected {
            return self;
        }
        let left = self.limit.0.saturating_sub(made.0);
        let rest = f64::from(left) * REST_SHARE;
        Self {
            expected: TokenCount(made.0 + rest as u32),
            ..self
        }
    }

    /// Tokens of the whole output.
    pub fn expected(self) -> TokenCount {
        self.expected
    }

    /// Tokens of the output that an engine holds on average while the generation runs.
    ///
    /// The generations of an engine do not reach their ends at the same time, so their sum stays
    /// near the sum of these.
    pub fn held(self) -> u64 {
        (f64::from(self.expected.0) * HELD_SHARE) as u64
    }

    /// Whether the output is short, whatever its length turns out to be.
    pub fn is_quick(self) -> bool {
        self.limit.0 <= QUICK_OUTPUT
    }
}
