use base::{ClockTime, TimeSpan};

/// Remaining time below which a generation is left to end where it runs.
const SHORT_REST: TimeSpan = TimeSpan::new(300);

/// What a relay knows of a running generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamFacts {
    /// When the first event arrived; `None` before it.
    pub first_at: Option<ClockTime>,
    /// Events so far.
    pub events: u32,
    /// Events that the whole answer has at most.
    pub event_limit: u32,
}

impl StreamFacts {
    /// Whether the generation has started and is likely to outlive a short notice.
    ///
    /// ```
    /// use base::ClockTime;
    /// let first_at = Some(ClockTime::new(0));
    /// let facts = entry::StreamFacts { first_at, events: 10, event_limit: 200 };
    /// assert!(facts.outlives_notice(ClockTime::new(300)));
    /// ```
    pub fn outlives_notice(&self, now: ClockTime) -> bool {
        let Some(first) = self.first_at else {
            return false;
        };
        let pace = now.since(first).as_millis() / u64::from(self.events.max(1));
        let left = u64::from(self.event_limit.saturating_sub(self.events));
        TimeSpan::new(left * pace.max(1)) > SHORT_REST
    }
}
