/// Pace of one engine beside the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPace {
    /// Time between events relative to the median engine of the service; above 1 it is slower.
    pub ratio: f64,
    /// Expected share of gaps that begin a stretch over the pause limit.
    pub late_share: f64,
    /// Lowest expected share of such gaps among the engines of the service that take calls.
    pub least_late_share: f64,
    /// Whether there are enough observations for a judgement; if not, the engine counts as average.
    pub is_known: bool,
    /// Whether an engine of the service differs from the others by more than a quarter.
    pub is_uneven: bool,
    /// Whether long calls on time are kept off the engine.
    pub is_avoided: bool,
}

impl Default for TargetPace {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            late_share: 0.0,
            least_late_share: 0.0,
            is_known: false,
            is_uneven: false,
            is_avoided: false,
        }
    }
}

impl TargetPace {
    /// Probability that at least one of `events` gaps is over the pause limit. Stretches of late
    /// gaps are taken as independent of each other.
    ///
    /// ```
    /// let pace = entry::TargetPace { late_share: 0.01, ..entry::TargetPace::default() };
    /// assert!(pace.late_probability(187) > 0.8);
    /// assert!(pace.late_probability(2) < 0.03);
    /// ```
    pub fn late_probability(&self, events: u32) -> f64 {
        late_probability(self.late_share, events)
    }

    /// Whether it differs from the median engine by more than a quarter.
    pub fn is_unusual(&self) -> bool {
        self.is_known && (self.ratio > UNEVEN_RATIO || self.ratio < UNEVEN_RATIO.recip())
    }

    /// Whether a call with so many events would more likely than not be late here, but not on
    /// another engine of the service.
    pub fn is_late_for(&self, events: u32) -> bool {
        let here = self.late_probability(events);
        let best = late_probability(self.least_late_share, events);
        self.is_known && here > MOSTLY && here - best >= CLEAR_GAIN
    }
}

/// An engine whose pace differs from the median by more than this factor makes the service uneven.
/// With a smaller one, engines of equal speed seem uneven while one reads more prompts than others.
pub(super) const UNEVEN_RATIO: f64 = 1.6;
/// Probability from which on something is more likely than not.
const MOSTLY: f64 = 0.5;
/// Difference of two late probabilities from which on one engine is better than the other. Both are
/// estimates, and a call that waits may wait in vain, so small differences don't count.
const CLEAR_GAIN: f64 = 0.2;

/// Probability that at least one of `events` gaps begins a late stretch, if `share` of all do.
pub(super) fn late_probability(share: f64, events: u32) -> f64 {
    1.0 - (-share * f64::from(events)).exp()
}
