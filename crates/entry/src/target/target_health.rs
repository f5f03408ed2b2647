use base::{ClockTime, TimeSpan};

/// Time in which half of the weight of an outcome is lost.
const HALF_LIFE: TimeSpan = TimeSpan::from_secs(4);
/// Outcomes that an unknown target is taken to have had; one in twenty failed.
const PRIOR_WEIGHT: f64 = 1.0;
/// Share of failures that an unknown target is taken to have.
const PRIOR_SHARE: f64 = 0.05;
/// Pause after a connection could not be made; doubled by each further failure.
const CONNECT_PAUSE: TimeSpan = TimeSpan::new(150);
/// Longest such pause.
const CONNECT_PAUSE_LIMIT: TimeSpan = TimeSpan::new(1_200);
/// Pause after a target said that it is full.
const FULL_PAUSE: TimeSpan = TimeSpan::new(60);

/// How a call at a target ended, as far as its health is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetOutcome {
    /// It gave a whole answer.
    Answered,
    /// It refused the call without running it.
    Refused,
    /// It failed the call or broke the answer off.
    Failed,
    /// No connection could be made.
    Unreachable,
}

/// Share of failures of one target, with decay, and pauses after which it is tried again.
///
/// ```
/// use base::ClockTime;
/// use entry::{TargetHealth, TargetOutcome};
/// let now = ClockTime::new(1_000);
/// let mut health = TargetHealth::default();
/// health.note(now, TargetOutcome::Unreachable);
/// assert!(!health.accepts(now));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    good: f64,
    bad: f64,
    noted_at: ClockTime,
    paused_until: ClockTime,
    unreached: u32,
}

impl TargetHealth {
    /// Notes the end of a call.
    pub fn note(&mut self, now: ClockTime, outcome: TargetOutcome) {
        self.decay(now);
        match outcome {
            TargetOutcome::Answered => {
                self.good += 1.0;
                self.unreached = 0;
                self.paused_until = ClockTime::ZERO;
            }
            TargetOutcome::Failed => self.bad += 1.0,
            TargetOutcome::Refused => {
                self.bad += 0.5;
                self.paused_until = self.paused_until.max(now + FULL_PAUSE);
            }
            TargetOutcome::Unreachable => {
                let pause = CONNECT_PAUSE * (1 << self.unreached.min(4));
                self.unreached += 1;
                self.paused_until = now + pause.min(CONNECT_PAUSE_LIMIT);
            }
        }
    }

    /// Whether calls may be sent now.
    pub fn accepts(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Whether the last connection could be made.
    pub fn is_reachable(&self) -> bool {
        self.unreached == 0
    }

    /// Expected share of failures, between 0 and 1.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let factor = self.factor(now);
        let (good, bad) = (self.good * factor, self.bad * factor);
        (bad + PRIOR_WEIGHT * PRIOR_SHARE) / (good + bad + PRIOR_WEIGHT)
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = self.factor(now);
        self.good *= factor;
        self.bad *= factor;
        self.noted_at = now;
    }

    fn factor(&self, now: ClockTime) -> f64 {
        let age = now.since(self.noted_at).as_millis() as f64;
        0.5_f64.powf(age / HALF_LIFE.as_millis() as f64)
    }
}
