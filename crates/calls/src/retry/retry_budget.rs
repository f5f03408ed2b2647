use base::{ClockTime, TimeSpan};

/// Credit that one retry costs; credit is counted in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Credit that each offered request earns: retries may reach 10% of the offered load.
const REQUEST_CREDIT: u64 = 100;
/// Maximum number of retries that can be saved up. With a higher limit, a burst of retries could
/// follow a long time without any.
const MAX_SAVED_RETRIES: u64 = 20;
/// Time in which one retry is earned without any request, so that a workspace with few requests can
/// retry at all.
const MIN_RETRY_PERIOD: TimeSpan = TimeSpan::from_secs(10);

/// Token bucket that limits retries to 10% of the offered load, plus a small minimum rate.
///
/// There is one for each workspace and one for each target; a retry is taken from both.
///
/// ```
/// use base::ClockTime;
/// let now = ClockTime::ZERO;
/// let mut budget = calls::RetryBudget::new(now);
/// assert!(budget.try_take(now));
/// assert!(!budget.try_take(now));
/// (0..10).for_each(|_| budget.on_request(now));
/// assert!(budget.try_take(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u64,
    min_credited_at: ClockTime,
}

impl RetryBudget {
    /// Creates a budget with credit for one retry.
    pub fn new(now: ClockTime) -> Self {
        Self {
            credit: RETRY_COST,
            min_credited_at: now,
        }
    }

    /// Adds the credit of an offered request, that is of the first attempt of a call.
    pub fn on_request(&mut self, now: ClockTime) {
        self.add_minimum_credit(now);
        self.add_credit(REQUEST_CREDIT);
    }

    /// Tells whether the credit allows a retry now.
    pub fn allows(&mut self, now: ClockTime) -> bool {
        self.add_minimum_credit(now);
        self.credit >= RETRY_COST
    }

    /// Takes one retry; returns `false` if the credit does not allow it.
    pub fn try_take(&mut self, now: ClockTime) -> bool {
        let allowed = self.allows(now);
        if allowed {
            self.credit -= RETRY_COST;
        }
        allowed
    }

    /// Takes one retry from both budgets; returns `false` and takes none if either refuses.
    pub fn try_take_both(&mut self, other: &mut Self, now: ClockTime) -> bool {
        if !self.allows(now) || !other.allows(now) {
            return false;
        }
        self.try_take(now) && other.try_take(now)
    }

    fn add_minimum_credit(&mut self, now: ClockTime) {
        let period = MIN_RETRY_PERIOD.as_millis();
        let periods = (now - self.min_credited_at).as_millis() / period;
        self.min_credited_at += MIN_RETRY_PERIOD * periods;
        self.add_credit(periods.saturating_mul(RETRY_COST));
    }

    fn add_credit(&mut self, amount: u64) {
        self.credit = self
            .credit
            .saturating_add(amount)
            .min(MAX_SAVED_RETRIES * RETRY_COST);
    }
}
