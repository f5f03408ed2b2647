use base::{ClockTime, TimeSpan};

/// Failures in a row after which a target is ejected.
const EJECT_AFTER: u32 = 3;
/// First time of an ejection; it doubles with every further one.
const EJECT_TIME: TimeSpan = TimeSpan::from_secs(5);
/// Longest time of an ejection, as a power of two of the first one.
const EJECT_DOUBLINGS: u32 = 4;
/// Pause after a target refused a request as full.
const FULL_PAUSE: TimeSpan = TimeSpan::new(500);
/// Share of its limit that a new target gets at first.
const RAMP_START: f64 = 0.2;
/// Smallest share of its limit that is left to a target that preempts.
const SHARE_FLOOR: f64 = 0.6;
/// Share that is given back in each second without preemption.
const SHARE_STEP: f64 = 0.004;

/// Whether a target gets work and how much of its memory may be used.
///
/// ```
/// use base::ClockTime;
/// let mut health = sched::TargetHealth::default();
/// for _ in 0..3 {
///     health.on_failure(ClockTime::new(0));
/// }
/// assert!(!health.accepts(ClockTime::new(4_999)));
/// assert!(health.accepts(ClockTime::new(5_000)));
/// ```
#[derive(Clone, Debug)]
pub struct TargetHealth {
    failures: u32,
    ejections: u32,
    closed_until: ClockTime,
    ramp_since: Option<ClockTime>,
    share: f64,
    share_at: ClockTime,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            ejections: 0,
            closed_until: ClockTime::ZERO,
            ramp_since: None,
            share: 1.0,
            share_at: ClockTime::ZERO,
        }
    }
}

impl TargetHealth {
    /// Starts to raise the share of a target that is new or returns.
    pub fn start_ramp(&mut self, now: ClockTime) {
        self.ramp_since = Some(now);
    }

    /// Notes a failed request and ejects the target after several in a row.
    pub fn on_failure(&mut self, now: ClockTime) {
        self.failures += 1;
        if self.failures < EJECT_AFTER {
            return;
        }
        let factor = 1 << self.ejections.min(EJECT_DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.closed_until = now + EJECT_TIME * factor;
        self.ramp_since = Some(self.closed_until);
    }

    /// Notes a complete answer.
    pub fn on_success(&mut self, now: ClockTime) {
        self.failures = 0;
        if now >= self.closed_until + EJECT_TIME {
            self.ejections = 0;
        }
    }

    /// Notes that the target refused a request before running it.
    pub fn on_full(&mut self, now: ClockTime) {
        self.closed_until = self.closed_until.max(now + FULL_PAUSE);
    }

    /// Notes preemptions at the target, which show that its limit is too high.
    pub fn on_preemptions(&mut self, now: ClockTime) {
        self.share = (self.share_now(now) * 0.95).max(SHARE_FLOOR);
        self.share_at = now;
    }

    /// Whether the target gets work at all.
    pub fn accepts(&self, now: ClockTime) -> bool {
        now >= self.closed_until
    }

    /// Share of the target's memory that may be used, with a slow start that takes `ramp`.
    pub fn limit_share(&self, now: ClockTime, ramp: TimeSpan) -> f64 {
        let share = self.share_now(now);
        let Some(since) = self.ramp_since else {
            return share;
        };
        let part = now.since(since).as_millis() as f64 / ramp.as_millis().max(1) as f64;
        share * (RAMP_START + (1.0 - RAMP_START) * part).min(1.0)
    }

    fn share_now(&self, now: ClockTime) -> f64 {
        let span = now.since(self.share_at).as_millis() as f64 / 1_000.0;
        (self.share + SHARE_STEP * span).min(1.0)
    }
}
