use base::TimeSpan;
use rand::Rng;

/// Doubling delays with full jitter between half and the whole of each.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    least: TimeSpan,
    most: TimeSpan,
    failures: u32,
}

impl RetryBackoff {
    /// Creates delays from `least` to `most`.
    pub fn new(least: TimeSpan, most: TimeSpan) -> Self {
        Self {
            least,
            most,
            failures: 0,
        }
    }

    /// Returns the delay after one more failure.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> TimeSpan {
        let factor = 1_u64 << self.failures.min(20);
        self.failures = self.failures.saturating_add(1);
        let delay = (self.least * factor).min(self.most).as_millis();
        TimeSpan::new(rng.random_range(delay / 2..=delay))
    }

    /// Starts again from the least delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
