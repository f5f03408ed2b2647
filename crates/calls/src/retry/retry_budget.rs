use base::{ClockTime, TimeSpan};

/// Thousandths of a retry.
const RETRY: u64 = 1_000;
/// Thousandths of a retry that each offered request earns: 10% of the offered load.
const EARNED: u64 = 100;
/// Retries that can be saved up; a larger store would allow a burst after a quiet hour.
const STORE: u64 = 20;
/// Time in which the floor earns one retry, so that a quiet workspace can retry at all.
const FLOOR_PERIOD: TimeSpan = TimeSpan::from_secs(10);

/// Token bucket that keeps retries within 10% of the offered load, plus a small floor.
///
/// One is kept for each workspace and each target; a retry needs a token of both.
///
/// ```
/// use base::ClockTime;
/// let now = ClockTime::ZERO;
/// let mut budget = calls::RetryBudget::new(now);
/// assert!(budget.take(now));
/// assert!(!budget.take(now));
/// (0..10).for_each(|_| budget.on_request(now));
/// assert!(budget.take(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    stored: u64,
    floored_at: ClockTime,
}

impl RetryBudget {
    /// Creates a budget that holds one retry.
    pub fn new(now: ClockTime) -> Self {
        Self {
            stored: RETRY,
            floored_at: now,
        }
    }

    /// Counts an offered request, that is a first attempt.
    pub fn on_request(&mut self, now: ClockTime) {
        self.add_floor(now);
        self.add(EARNED);
    }

    /// Tells whether a retry is allowed now.
    pub fn allows(&mut self, now: ClockTime) -> bool {
        self.add_floor(now);
        self.stored >= RETRY
    }

    /// Takes one retry; `false` if there is none.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let allowed = self.allows(now);
        if allowed {
            self.stored -= RETRY;
        }
        allowed
    }

    /// Takes one retry from both budgets or from neither.
    pub fn take_both(&mut self, other: &mut Self, now: ClockTime) -> bool {
        if !self.allows(now) || !other.allows(now) {
            return false;
        }
        self.take(now) && other.take(now)
    }

    fn add_floor(&mut self, now: ClockTime) {
        let period = FLOOR_PERIOD.as_millis();
        let periods = (now - self.floored_at).as_millis() / period;
        self.floored_at += FLOOR_PERIOD * periods;
        self.add(periods.saturating_mul(RETRY));
    }

    fn add(&mut self, amount: u64) {
        self.stored = self.stored.saturating_add(amount).min(STORE * RETRY);
    }
}
