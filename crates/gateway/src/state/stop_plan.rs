use base::{ClockTime, TimeSpan};

/// Time before the end of the grace period by which calls have to end to be admitted.
const CALL_MARGIN: TimeSpan = TimeSpan::new(900);
/// Time before the end of the grace period at which calls in progress are ended with an error, so
/// that it can still be written.
const CUT_OFF_MARGIN: TimeSpan = TimeSpan::new(500);

/// Times of a graceful shutdown.
///
/// ```
/// let start = base::ClockTime::new(1_000);
/// let mut plan = gateway::StopPlan::new(start, "8s".parse().unwrap());
/// assert!(plan.can_finish(start, "7s".parse().unwrap()));
/// plan.close();
/// assert!(!plan.can_finish(start, "1s".parse().unwrap()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Time by which a call has to be able to end to be admitted or sent.
    pub calls_end: ClockTime,
    /// When calls that are still waiting for their targets are ended with an error.
    pub cut_off_at: ClockTime,
    is_closed: bool,
}

impl StopPlan {
    /// Creates the plan of a shutdown that starts at `now` and may take `grace`.
    pub fn new(now: ClockTime, grace: TimeSpan) -> Self {
        Self {
            calls_end: now + grace.saturating_sub(CALL_MARGIN),
            cut_off_at: now + grace.saturating_sub(CUT_OFF_MARGIN),
            is_closed: false,
        }
    }

    /// Lets no call begin any more, as the process ends in a moment.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether a call that begins at `now` and takes `span` can end in time.
    pub fn can_finish(&self, now: ClockTime, span: TimeSpan) -> bool {
        !self.is_closed && now + span < self.calls_end
    }
}
