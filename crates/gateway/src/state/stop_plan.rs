use base::{ClockTime, TimeSpan};

use super::CallTimes;

/// Time before the end of the grace period by which calls have to end to be admitted.
const CALL_MARGIN: TimeSpan = TimeSpan::new(900);
/// Time before the end of the grace period at which calls in progress are ended with an error, so
/// that it can still be written.
const CUT_OFF_MARGIN: TimeSpan = TimeSpan::new(500);

/// Time after the stop signal in which load balancers may still send new callers here. Later, only
/// callers that kept a connection come, and each can open another one.
const EARLY_SPAN: TimeSpan = TimeSpan::new(2_500);

/// Times of a graceful shutdown.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use gateway::{CallTimes, StopPlan};
/// let start = ClockTime::new(1_000);
/// let mut plan = StopPlan::new(start, TimeSpan::from_secs(8));
/// assert!(plan.can_finish(start, CallTimes::new(start + TimeSpan::from_secs(7))));
/// let long_call = CallTimes::new(start + TimeSpan::from_secs(20));
/// assert!(!plan.can_finish(start, long_call));
/// // A stream that likely ends in time may begin early in the stop.
/// let stream = long_call.with_likely(TimeSpan::from_secs(1));
/// assert!(plan.can_finish(start, stream));
/// assert!(!plan.can_finish(start + TimeSpan::from_secs(4), stream));
/// plan.close();
/// assert!(!plan.can_finish(start, CallTimes::new(start)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Time by which a call has to be able to end to be admitted or sent.
    pub calls_end: ClockTime,
    /// When calls that are still waiting for their targets are ended with an error.
    pub cut_off_at: ClockTime,
    /// End of [`EARLY_SPAN`].
    early_end: ClockTime,
    is_closed: bool,
}

impl StopPlan {
    /// Creates the plan of a shutdown that starts at `now` and may take `grace`.
    pub fn new(now: ClockTime, grace: TimeSpan) -> Self {
        Self {
            calls_end: now + grace.saturating_sub(CALL_MARGIN),
            cut_off_at: now + grace.saturating_sub(CUT_OFF_MARGIN),
            early_end: now + EARLY_SPAN,
            is_closed: false,
        }
    }

    /// Lets no call begin any more, as the process ends in a moment.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether a call that begins at `now` can end in time. Early in the stop, it is enough that it
    /// likely does, since a refusal costs many callers a retry; later, it must end in any case.
    pub fn can_finish(&self, now: ClockTime, times: CallTimes) -> bool {
        let end = match self.is_early(now) {
            true => times.likely_end(now),
            false => times.latest_end,
        };
        !self.is_closed && end < self.calls_end
    }

    /// Time until calls that likely end in time are no longer admitted; `None` if that is over.
    pub fn early_left(&self, now: ClockTime) -> Option<TimeSpan> {
        self.is_early(now).then(|| self.early_end - now)
    }

    fn is_early(&self, now: ClockTime) -> bool {
        now < self.early_end
    }
}
