use base::TimeSpan;
use rand::Rng;

/// Exponential backoff with full jitter: each delay is chosen uniformly between zero and a ceiling
/// that doubles with every attempt.
///
/// Full jitter spreads the retries of many callers that failed at the same moment.
///
/// ```
/// use rand::SeedableRng;
/// let policy = calls::BackoffPolicy::default();
/// let mut random = rand_pcg::Pcg32::seed_from_u64(1);
/// assert!(policy.delay(1, &mut random) <= policy.base);
/// assert!(policy.delay(30, &mut random) <= policy.cap);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Ceiling of the first delay.
    pub base: TimeSpan,
    /// Highest ceiling of any delay.
    pub cap: TimeSpan,
}

impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            base: TimeSpan::new(50),
            cap: TimeSpan::from_secs(2),
        }
    }
}

impl BackoffPolicy {
    /// Delay after the failure of attempt number `attempt`, counted from 1.
    pub fn delay(&self, attempt: u32, random: &mut impl Rng) -> TimeSpan {
        let doublings = attempt.saturating_sub(1).min(32);
        let ceiling = (self.base * (1_u64 << doublings)).min(self.cap);
        TimeSpan::new(random.random_range(0..=ceiling.as_millis()))
    }
}
