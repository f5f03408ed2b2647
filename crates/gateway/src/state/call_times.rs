use base::{ClockTime, TimeSpan};

/// How long a call may take that begins now, by which it is decided whether it may begin while the
/// node stops.
///
/// ```
/// use base::ClockTime;
/// use gateway::CallTimes;
/// let deadline = ClockTime::new(9_000);
/// let times = CallTimes::new(deadline).with_likely("2s".parse().unwrap());
/// assert_eq!(times.latest_end, deadline);
/// assert_eq!(times.likely_end(ClockTime::new(1_000)), ClockTime::new(3_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimes {
    /// Time by which the call has ended in any case.
    pub latest_end: ClockTime,
    /// Time that the call likely takes; `None` if only its latest end is known.
    likely: Option<TimeSpan>,
}

impl CallTimes {
    /// Times of a call that has ended by `latest_end`.
    pub fn new(latest_end: ClockTime) -> Self {
        Self {
            latest_end,
            likely: None,
        }
    }

    /// Adds the time that the call likely takes.
    #[must_use]
    pub fn with_likely(mut self, span: TimeSpan) -> Self {
        self.likely = Some(span);
        self
    }

    /// Time by which the call is likely to have ended if it begins at `now`.
    pub fn likely_end(&self, now: ClockTime) -> ClockTime {
        let end = self.likely.map(|span| now + span);
        end.map_or(self.latest_end, |end| end.min(self.latest_end))
    }
}
