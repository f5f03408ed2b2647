use base::{ClockTime, TimeSpan};

/// Expected remaining time up to which a generation stays on its engine instead of being moved.
const MIN_REMAINING: TimeSpan = TimeSpan::new(300);

/// Progress of a running generation, as seen in its event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamProgress {
    /// Time at which the first event arrived; `None` before that.
    pub first_event_at: Option<ClockTime>,
    /// Number of events so far.
    pub events: u32,
    /// Largest number of events that the whole answer can have.
    pub event_limit: u32,
}

impl StreamProgress {
    /// Whether the generation has started and is expected to run long enough that moving it pays.
    ///
    /// ```
    /// use base::ClockTime;
    /// let first_event_at = Some(ClockTime::new(0));
    /// let progress = entry::StreamProgress { first_event_at, events: 10, event_limit: 200 };
    /// assert!(progress.is_worth_moving(ClockTime::new(300)));
    /// ```
    pub fn is_worth_moving(&self, now: ClockTime) -> bool {
        let Some(first) = self.first_event_at else {
            return false;
        };
        let ms_per_event = now.since(first).as_millis() / u64::from(self.events.max(1));
        let events_left = u64::from(self.event_limit.saturating_sub(self.events));
        TimeSpan::new(events_left * ms_per_event.max(1)) > MIN_REMAINING
    }
}
