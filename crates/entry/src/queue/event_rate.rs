use base::{ClockTime, TimeSpan};

/// Exponentially weighted rate of events.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// let mut rate = entry::EventRate::new(ClockTime::new(0), TimeSpan::from_secs(2));
/// (1..=50).for_each(|at| rate.record(ClockTime::new(at * 100)));
/// let measured = rate.per_second(ClockTime::new(5_000));
/// assert!((9.0..11.0).contains(&measured));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct EventRate {
    started: ClockTime,
    /// Time of the last event.
    last: ClockTime,
    /// Sum of the weights of all events at `last`.
    sum: f64,
    /// Time in which the weight of an event falls to 1/e.
    window: TimeSpan,
}

impl EventRate {
    /// Creates a rate that has seen no events; events before `started` count as unknown.
    pub const fn new(started: ClockTime, window: TimeSpan) -> Self {
        Self {
            started,
            last: started,
            sum: 0.0,
            window,
        }
    }

    /// Whether no event was recorded.
    pub fn is_unused(&self) -> bool {
        self.sum == 0.0
    }

    /// Records an event.
    pub fn record(&mut self, now: ClockTime) {
        self.sum = self.sum * self.decay(now.since(self.last)) + 1.0;
        self.last = self.last.max(now);
    }

    /// Events per second, corrected for the time before the start, of which nothing is known.
    pub fn per_second(&self, now: ClockTime) -> f64 {
        let known = 1.0 - self.decay(now.since(self.started));
        let sum = self.sum * self.decay(now.since(self.last));
        match known > 0.0 {
            true => sum * 1_000.0 / (self.window.as_millis() as f64 * known),
            false => 0.0,
        }
    }

    fn decay(&self, age: TimeSpan) -> f64 {
        (-(age.as_millis() as f64) / self.window.as_millis() as f64).exp()
    }
}
