use super::GrowthCurve;

/// Weight of the prior, as a number of tokens in memory.
const PRIOR_TOKENS: f64 = 4_096.0;
/// Growth factor of the prior.
const PRIOR_FACTOR: f64 = 1.3;
/// Variance per token in memory of the prior.
const PRIOR_VARIANCE: f64 = 800.0;

/// Average growth of sequences, estimated from all running streams of this node.
///
/// The growth factor is applied to sequences that are not known one by one, such as those of other
/// nodes; the variance gives the uncertainty of the predicted peak of a target.
///
/// ```
/// let estimate = sched::GrowthEstimate::from_running(&sched::GrowthCurve::default());
/// assert!(estimate.factor > 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthEstimate {
    /// Ratio of the largest expected memory use to the present one.
    pub factor: f64,
    /// Variance of memory use per token in memory.
    pub variance: f64,
}

impl GrowthEstimate {
    /// Estimates growth from the sum of the curves of all running streams.
    pub fn from_running(running: &GrowthCurve) -> Self {
        let held = running.held() as f64 + PRIOR_TOKENS;
        let peak = running.peak() as f64 + PRIOR_TOKENS * PRIOR_FACTOR;
        let variance = running.variance() as f64 + PRIOR_TOKENS * PRIOR_VARIANCE;
        Self {
            factor: peak / held,
            variance: variance / held,
        }
    }
}
