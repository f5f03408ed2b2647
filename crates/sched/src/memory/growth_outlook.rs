use super::GrowthCurve;

/// Tokens by which the outlook is drawn towards the prior.
const PRIOR_TOKENS: f64 = 4_096.0;
/// Growth that is assumed at first.
const PRIOR_FACTOR: f64 = 1.3;
/// Variance for each token in memory that is assumed at first.
const PRIOR_VARIANCE: f64 = 800.0;

/// How sequences are expected to grow, learned from all running streams of this node.
///
/// ```
/// let outlook = sched::GrowthOutlook::of_running(&sched::GrowthCurve::default());
/// assert!(outlook.factor > 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrowthOutlook {
    /// Largest expected memory over the present memory.
    pub factor: f64,
    /// Variance of memory for each token in memory.
    pub variance: f64,
}

impl GrowthOutlook {
    /// Learns from the sum of all running streams.
    pub fn of_running(running: &GrowthCurve) -> Self {
        let held = running.held() as f64 + PRIOR_TOKENS;
        let peak = running.peak() as f64 + PRIOR_TOKENS * PRIOR_FACTOR;
        let variance = running.variance() as f64 + PRIOR_TOKENS * PRIOR_VARIANCE;
        Self {
            factor: peak / held,
            variance: variance / held,
        }
    }
}
