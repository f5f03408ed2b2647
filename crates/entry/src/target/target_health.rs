use base::{ClockTime, TimeSpan};

/// Time after which an outcome counts half.
const HALF_LIFE: TimeSpan = TimeSpan::from_secs(4);
/// Weight of the prior, in outcomes, that a target without recorded outcomes starts with.
const PRIOR_WEIGHT: f64 = 1.0;
/// Failure rate of that prior.
const PRIOR_SHARE: f64 = 0.05;
/// Pause after a failed connection attempt; doubled by each further one.
const CONNECT_PAUSE: TimeSpan = TimeSpan::new(150);
/// Longest such pause.
const CONNECT_PAUSE_LIMIT: TimeSpan = TimeSpan::new(1_200);
/// Time for which a target that was unreachable is tried by a single call.
const TRIAL_TIME: TimeSpan = TimeSpan::new(1_000);
/// Pause after a target refused a call because it is full.
const FULL_PAUSE: TimeSpan = TimeSpan::new(60);

/// How a call at a target ended, as far as it tells about the health of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// It sent the head of a response, so it can be reached.
    Responded,
    /// It answered completely.
    Answered,
    /// It refused the call without running it.
    Refused,
    /// It failed the call, or its response broke off.
    Failed,
    /// No connection could be made.
    Unreachable,
}

/// Health of one target: its failure rate, in which older outcomes count less, and the pause until
/// which it gets no calls after it was full or unreachable.
///
/// ```
/// use base::ClockTime;
/// use entry::{TargetHealth, TargetOutcome};
/// let now = ClockTime::new(1_000);
/// let mut health = TargetHealth::default();
/// health.record_outcome(now, TargetOutcome::Unreachable);
/// assert!(!health.accepts(now));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    successes: f64,
    failures: f64,
    /// When both counts were last decayed.
    decayed_at: ClockTime,
    paused_until: ClockTime,
    /// Connection attempts that failed since the last response.
    connect_failures: u32,
}

impl TargetHealth {
    /// Records how a call ended.
    pub fn record_outcome(&mut self, now: ClockTime, outcome: TargetOutcome) {
        self.decay(now);
        match outcome {
            TargetOutcome::Responded if self.is_reachable() => {}
            TargetOutcome::Responded => {
                self.connect_failures = 0;
                self.paused_until = ClockTime::ZERO;
            }
            TargetOutcome::Answered => {
                self.successes += 1.0;
                self.connect_failures = 0;
                self.paused_until = ClockTime::ZERO;
            }
            TargetOutcome::Failed => self.failures += 1.0,
            TargetOutcome::Refused => {
                self.failures += 0.5;
                self.paused_until = self.paused_until.max(now + FULL_PAUSE);
            }
            TargetOutcome::Unreachable => {
                let pause = CONNECT_PAUSE * (1 << self.connect_failures.min(4));
                self.connect_failures += 1;
                self.paused_until = now + pause.min(CONNECT_PAUSE_LIMIT);
            }
        }
    }

    /// Starts a call that shows whether an unreachable target is reachable again; until then, other
    /// calls of this node avoid the target.
    pub fn begin_trial(&mut self, now: ClockTime) {
        if !self.is_reachable() {
            self.paused_until = now + TRIAL_TIME;
        }
    }

    /// Forgets that connections failed, as this node had no path to any target of the service.
    pub fn forget_unreachable(&mut self) {
        if !self.is_reachable() {
            self.connect_failures = 0;
            self.paused_until = ClockTime::ZERO;
        }
    }

    /// Whether the target is not paused, so that calls may be sent.
    pub fn accepts(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Whether no connection attempt failed since the last response.
    pub fn is_reachable(&self) -> bool {
        self.connect_failures == 0
    }

    /// Expected share of calls that fail, between 0 and 1.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let factor = self.decay_factor(now);
        let (successes, failures) = (self.successes * factor, self.failures * factor);
        (failures + PRIOR_WEIGHT * PRIOR_SHARE) / (successes + failures + PRIOR_WEIGHT)
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = self.decay_factor(now);
        self.successes *= factor;
        self.failures *= factor;
        self.decayed_at = now;
    }

    fn decay_factor(&self, now: ClockTime) -> f64 {
        let age = now.since(self.decayed_at).as_millis() as f64;
        0.5_f64.powf(age / HALF_LIFE.as_millis() as f64)
    }
}
