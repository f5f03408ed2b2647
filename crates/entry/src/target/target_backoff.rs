use base::{ClockTime, TimeSpan};

/// Longest backoff that a target may ask for.
const BACKOFF_LIMIT: TimeSpan = TimeSpan::from_secs(600);
/// Time after a backoff in which the number of concurrent calls is limited and grows step by step.
const RAMP: TimeSpan = TimeSpan::from_secs(1);
/// Time after which the ramp allows one more concurrent call.
const RAMP_STEP: TimeSpan = TimeSpan::new(100);
/// Generations that may be moved off the target during one backoff, which takes two requests to the
/// target each. Without any, a generation on an engine that also leaves would be lost.
const MOVE_PERMITS: u8 = 1;

/// Backoff that a target asked this node for: no calls until it ends, then a gradual ramp-up.
///
/// A backoff does not count as a failure: the health of the target stays as it is.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::TargetBackoff;
/// let now = ClockTime::new(1_000);
/// let mut backoff = TargetBackoff::default();
/// backoff.start(now, TimeSpan::from_secs(2));
/// assert_eq!(backoff.left(now + TimeSpan::from_secs(1)), Some(TimeSpan::from_secs(1)));
/// let over = now + TimeSpan::from_secs(2);
/// assert!(backoff.allows(over, 0) && !backoff.allows(over, 1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetBackoff {
    until: Option<ClockTime>,
    move_permits: u8,
}

impl TargetBackoff {
    /// Starts a backoff of `span`, or extends the current one; a shorter `span` does not end a
    /// longer backoff. Returns `span` capped at the longest time that a target may ask for.
    pub fn start(&mut self, now: ClockTime, span: TimeSpan) -> TimeSpan {
        let span = span.min(BACKOFF_LIMIT);
        if self.left(now).is_none() {
            self.move_permits = MOVE_PERMITS;
        }
        self.until = self.until.max(Some(now + span));
        span
    }

    /// Time until the backoff ends; `None` if it is over or there was none.
    pub fn left(&self, now: ClockTime) -> Option<TimeSpan> {
        let until = self.until.filter(|until| now < *until)?;
        Some(until - now)
    }

    /// Whether another call may be sent while `running` calls of this node run at the target.
    pub fn allows(&self, now: ClockTime, running: u32) -> bool {
        let Some(until) = self.until else {
            return true;
        };
        if now < until {
            return false;
        }
        let age = now - until;
        age >= RAMP || u64::from(running) <= age.as_millis() / RAMP_STEP.as_millis()
    }

    /// Whether the backoff and the ramp after it are over, so that it holds nothing back.
    pub fn is_over(&self, now: ClockTime) -> bool {
        self.until.is_none_or(|until| now >= until + RAMP)
    }

    /// Takes the permit for moving one generation off the target; `false` if the permits of the
    /// current backoff are used up. Outside a backoff, no permit is needed.
    pub fn take_move_permit(&mut self, now: ClockTime) -> bool {
        if self.left(now).is_none() {
            return true;
        }
        let is_free = self.move_permits > 0;
        self.move_permits = self.move_permits.saturating_sub(1);
        is_free
    }
}
