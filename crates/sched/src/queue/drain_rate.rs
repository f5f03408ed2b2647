use base::{ClockTime, TimeSpan};

/// Time over which the rate is smoothed.
const WINDOW_MS: f64 = 4_000.0;
/// Rate assumed until work has drained, in tokens per millisecond.
const FIRST_RATE: f64 = 4.0;

/// How much work leaves a queue while others wait behind it.
///
/// ```
/// use base::ClockTime;
/// let mut rate = sched::DrainRate::default();
/// rate.add(ClockTime::new(0), 4_000);
/// assert!(rate.wait_for(4_000).as_millis() > 0);
/// ```
#[derive(Clone, Debug)]
pub struct DrainRate {
    rate: f64,
    pending: f64,
    since: ClockTime,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            rate: FIRST_RATE,
            pending: 0.0,
            since: ClockTime::ZERO,
        }
    }
}

impl DrainRate {
    /// Notes that work of `cost` tokens left the queue.
    pub fn add(&mut self, now: ClockTime, cost: u64) {
        self.pending += cost as f64;
        let span = now.since(self.since).as_millis() as f64;
        if span < 100.0 {
            return;
        }
        let share = 1.0 - (-span / WINDOW_MS).exp();
        self.rate += (self.pending / span - self.rate) * share;
        self.pending = 0.0;
        self.since = now;
    }

    /// Lets a time without waiting work pass, which says nothing about the rate.
    pub fn skip(&mut self, now: ClockTime) {
        self.pending = 0.0;
        self.since = now;
    }

    /// Time until `cost` tokens of work have left.
    pub fn wait_for(&self, cost: u64) -> TimeSpan {
        let millis = cost as f64 / self.rate.max(0.01);
        TimeSpan::new(millis.min(3.6e6) as u64)
    }
}
