use base::{ClockTime, TimeSpan};
use strum::Display;

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum BreakerState {
    /// Requests pass.
    Closed,
    /// No request passes.
    Open,
    /// One trial request is on its way.
    HalfOpen,
}

/// When a breaker opens and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerPolicy {
    /// Failures in a row that open it.
    pub failure_limit: u32,
    /// Time open before the first trial; doubles with each failed trial.
    pub open_time: TimeSpan,
    /// Longest time open.
    pub open_cap: TimeSpan,
}

impl Default for BreakerPolicy {
    fn default() -> Self {
        Self {
            failure_limit: 5,
            open_time: TimeSpan::from_secs(1),
            open_cap: TimeSpan::from_secs(30),
        }
    }
}

/// Stops requests to a target that fails, and lets a single trial request find its return.
///
/// ```
/// use base::ClockTime;
/// use calls::{BreakerPolicy, BreakerState, CircuitBreaker};
/// let mut breaker = CircuitBreaker::new(BreakerPolicy::default());
/// for _ in 0..5 {
///     breaker.on_failure(ClockTime::ZERO);
/// }
/// assert!(!breaker.try_pass(ClockTime::new(999)));
/// assert!(breaker.try_pass(ClockTime::new(1_000)));
/// assert!(!breaker.try_pass(ClockTime::new(1_000)));
/// breaker.on_success();
/// assert_eq!(breaker.state(), BreakerState::Closed);
/// ```
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    policy: BreakerPolicy,
    state: BreakerState,
    failures: u32,
    open_until: ClockTime,
    open_time: TimeSpan,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new(policy: BreakerPolicy) -> Self {
        Self {
            policy,
            state: BreakerState::Closed,
            failures: 0,
            open_until: ClockTime::ZERO,
            open_time: policy.open_time,
        }
    }

    /// The state; a breaker that is due for a trial is still open.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Tells whether a request could pass now, without letting one pass.
    pub fn would_pass(&self, now: ClockTime) -> bool {
        match self.state {
            BreakerState::Closed => true,
            // A trial whose outcome was never reported must not block the target for good.
            BreakerState::Open | BreakerState::HalfOpen => now >= self.open_until,
        }
    }

    /// Lets a request pass; in an open breaker that is due it is the trial.
    pub fn try_pass(&mut self, now: ClockTime) -> bool {
        if !self.would_pass(now) {
            return false;
        }
        if self.state != BreakerState::Closed {
            self.state = BreakerState::HalfOpen;
            self.open_until = now + self.policy.open_cap;
        }
        true
    }

    /// A request got an answer; returns `true` if this closed the breaker.
    pub fn on_success(&mut self) -> bool {
        let closed = self.state == BreakerState::HalfOpen;
        // Answers to requests from before the opening prove nothing about the target now.
        if self.state != BreakerState::Open {
            self.state = BreakerState::Closed;
            self.failures = 0;
            self.open_time = self.policy.open_time;
        }
        closed
    }

    /// A request failed by the fault of the target; returns `true` if this opened the breaker.
    pub fn on_failure(&mut self, now: ClockTime) -> bool {
        match self.state {
            BreakerState::Open => false,
            BreakerState::HalfOpen => {
                self.open_time = (self.open_time * 2).min(self.policy.open_cap);
                self.open(now)
            }
            BreakerState::Closed => {
                self.failures += 1;
                self.failures >= self.policy.failure_limit && self.open(now)
            }
        }
    }

    fn open(&mut self, now: ClockTime) -> bool {
        self.state = BreakerState::Open;
        self.failures = 0;
        self.open_until = now + self.open_time;
        true
    }
}
