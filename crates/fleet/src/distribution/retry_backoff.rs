use base::TimeSpan;
use rand::Rng;

/// Exponential backoff with jitter: the delay doubles with each failure, and the returned delay is
/// drawn at random between half and all of it.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    min: TimeSpan,
    max: TimeSpan,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff whose delays, before jitter, grow from `min` to `max`.
    pub fn new(min: TimeSpan, max: TimeSpan) -> Self {
        Self {
            min,
            max,
            failures: 0,
        }
    }

    /// Returns the delay after one more failure.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> TimeSpan {
        let factor = 1_u64 << self.failures.min(20);
        self.failures = self.failures.saturating_add(1);
        let delay = (self.min * factor).min(self.max).as_millis();
        TimeSpan::new(rng.random_range(delay / 2..=delay))
    }

    /// Starts again from the shortest delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
