use base::{ClockTime, TimeSpan};

/// Longest time that a target may ask for.
const QUIET_LIMIT: TimeSpan = TimeSpan::from_secs(600);
/// Time after its end in which few calls are sent at once.
const RAMP: TimeSpan = TimeSpan::from_secs(1);
/// Time in that for one more call at once.
const RAMP_STEP: TimeSpan = TimeSpan::new(100);
/// Generations that may move off the target in one quiet time, with two orders each: one on an engine
/// that leaves as well would be lost otherwise.
const MOVES: u8 = 1;

/// Time in which a target wants nothing from this node, and the careful start after it.
///
/// It is no fault: the health of the target stays as it is.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::TargetQuiet;
/// let now = ClockTime::new(1_000);
/// let mut quiet = TargetQuiet::default();
/// quiet.ask(now, TimeSpan::from_secs(2));
/// assert_eq!(quiet.left(now + TimeSpan::from_secs(1)), Some(TimeSpan::from_secs(1)));
/// let over = now + TimeSpan::from_secs(2);
/// assert!(quiet.allows(over, 0) && !quiet.allows(over, 1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetQuiet {
    until: Option<ClockTime>,
    moves: u8,
}

impl TargetQuiet {
    /// The target asks for quiet; a shorter time does not end a longer one. Returns the time that
    /// counts.
    pub fn ask(&mut self, now: ClockTime, span: TimeSpan) -> TimeSpan {
        let span = span.min(QUIET_LIMIT);
        if self.left(now).is_none() {
            self.moves = MOVES;
        }
        self.until = self.until.max(Some(now + span));
        span
    }

    /// Time until the target may be sent anything; `None` if it may now.
    pub fn left(&self, now: ClockTime) -> Option<TimeSpan> {
        let until = self.until.filter(|until| now < *until)?;
        Some(until - now)
    }

    /// Whether another call may be sent while `running` calls of this node are there.
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

    /// Takes one move off the target; `false` if there were too many in the quiet time.
    pub fn take_move(&mut self, now: ClockTime) -> bool {
        if self.left(now).is_none() {
            return true;
        }
        let is_free = self.moves > 0;
        self.moves = self.moves.saturating_sub(1);
        is_free
    }
}
