use base::{ClockTime, TimeSpan};

/// Time constant of the exponential moving average of the rate.
const TIME_CONSTANT_MS: f64 = 4_000.0;
/// Rate assumed before the first measurement, in tokens per millisecond.
const INITIAL_RATE: f64 = 4.0;

/// Rate at which work leaves a queue, measured only while further requests wait.
///
/// ```
/// use base::ClockTime;
/// let mut rate = sched::DrainRate::default();
/// rate.record(ClockTime::new(0), 4_000);
/// assert!(rate.time_to_drain(4_000).as_millis() > 0);
/// ```
#[derive(Clone, Debug)]
pub struct DrainRate {
    /// Average rate, in tokens per millisecond.
    rate: f64,
    /// Work that left the queue in the current measurement interval.
    interval_cost: f64,
    /// Start of the current measurement interval.
    interval_start: ClockTime,
}

impl Default for DrainRate {
    fn default() -> Self {
        Self {
            rate: INITIAL_RATE,
            interval_cost: 0.0,
            interval_start: ClockTime::ZERO,
        }
    }
}

impl DrainRate {
    /// Records that work of `cost` tokens left the queue.
    pub fn record(&mut self, now: ClockTime, cost: u64) {
        self.interval_cost += cost as f64;
        let span = now.since(self.interval_start).as_millis() as f64;
        if span < 100.0 {
            return;
        }
        let share = 1.0 - (-span / TIME_CONSTANT_MS).exp();
        self.rate += (self.interval_cost / span - self.rate) * share;
        self.interval_cost = 0.0;
        self.interval_start = now;
    }

    /// Discards the current measurement interval; a time without waiting work says nothing about
    /// the rate.
    pub fn skip_idle(&mut self, now: ClockTime) {
        self.interval_cost = 0.0;
        self.interval_start = now;
    }

    /// Expected time until `cost` tokens of work have left the queue.
    pub fn time_to_drain(&self, cost: u64) -> TimeSpan {
        let millis = cost as f64 / self.rate.max(0.01);
        TimeSpan::new(millis.min(3.6e6) as u64)
    }
}
