use std::ops::{AddAssign, SubAssign};

use crate::LengthDistribution;

/// Numbers of further tokens at which memory use is predicted; farther apart at greater distance,
/// where predictions are less certain.
pub const GROWTH_STEPS: [u32; 8] = [0, 24, 72, 192, 448, 1_024, 2_304, 5_120];

/// Predicted memory use of one or more sequences, in tokens, now and at each growth step.
///
/// A step is reached when each sequence has produced that many further tokens. A sequence counts
/// with the probability that it has not ended by then. Curves of several sequences are added.
///
/// ```
/// use sched::{GrowthCurve, LengthDistribution};
/// let growth = GrowthCurve::for_stream(&LengthDistribution::prior(), 100, 0, 512);
/// assert_eq!(growth.held(), 100);
/// assert!(growth.peak() >= 100);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrowthCurve {
    /// Expected tokens in memory at each growth step.
    tokens: [u64; GROWTH_STEPS.len()],
    /// Variance of the tokens in memory at each growth step.
    variances: [u64; GROWTH_STEPS.len()],
}

impl GrowthCurve {
    /// Predicts one sequence that has `prompt` prompt tokens and has produced `produced` of at most
    /// `cap` tokens.
    pub fn for_stream(
        distribution: &LengthDistribution,
        prompt: u32,
        produced: u32,
        cap: u32,
    ) -> Self {
        let held = u64::from(prompt) + u64::from(produced);
        let shares = GROWTH_STEPS.map(|step| distribution.survival(produced, step, cap));
        let size = |at: usize| (held + u64::from(GROWTH_STEPS[at])) as f64;
        Self {
            tokens: std::array::from_fn(|at| (size(at) * shares[at]) as u64),
            variances: std::array::from_fn(|at| {
                (size(at) * size(at) * shares[at] * (1.0 - shares[at])) as u64
            }),
        }
    }

    /// Number of tokens in memory now.
    pub fn held(&self) -> u64 {
        self.tokens[0]
    }

    /// Largest expected number of tokens in memory over all steps.
    pub fn peak(&self) -> u64 {
        self.tokens.into_iter().max().unwrap_or(0)
    }

    /// Largest variance of the number of tokens in memory over all steps.
    pub fn variance(&self) -> u64 {
        self.variances.into_iter().max().unwrap_or(0)
    }

    /// Largest expected number of tokens in memory of this curve and `other` together.
    pub fn peak_with(&self, other: &Self) -> u64 {
        let sums = self.tokens.iter().zip(&other.tokens).map(|(a, b)| a + b);
        sums.max().unwrap_or(0)
    }
}

impl AddAssign<&GrowthCurve> for GrowthCurve {
    fn add_assign(&mut self, other: &GrowthCurve) {
        for (own, other) in self.tokens.iter_mut().zip(other.tokens) {
            *own += other;
        }
        for (own, other) in self.variances.iter_mut().zip(other.variances) {
            *own += other;
        }
    }
}

impl SubAssign<&GrowthCurve> for GrowthCurve {
    fn sub_assign(&mut self, other: &GrowthCurve) {
        for (own, other) in self.tokens.iter_mut().zip(other.tokens) {
            *own = own.saturating_sub(other);
        }
        for (own, other) in self.variances.iter_mut().zip(other.variances) {
            *own = own.saturating_sub(other);
        }
    }
}
