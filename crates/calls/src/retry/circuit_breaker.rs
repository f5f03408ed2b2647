use base::{ClockTime, TimeSpan};
use strum::Display;

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum BreakerState {
    /// Requests are admitted.
    Closed,
    /// No request is admitted until the open time has passed.
    Open,
    /// One trial request was admitted and its outcome is awaited.
    HalfOpen,
}

/// When a circuit breaker opens and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerPolicy {
    /// Number of consecutive failures that opens the breaker.
    pub failure_limit: u32,
    /// Time from the opening until the first trial request; doubles with each failed trial.
    pub open_time: TimeSpan,
    /// Longest open time, and longest wait for the outcome of a trial request.
    pub max_open_time: TimeSpan,
}

impl Default for BreakerPolicy {
    fn default() -> Self {
        Self {
            failure_limit: 5,
            open_time: TimeSpan::from_secs(1),
            max_open_time: TimeSpan::from_secs(30),
        }
    }
}

/// Circuit breaker of one target: blocks requests after repeated failures, and admits single trial
/// requests to find out whether the target works again.
///
/// ```
/// use base::ClockTime;
/// use calls::{BreakerPolicy, BreakerState, CircuitBreaker};
/// let mut breaker = CircuitBreaker::new(BreakerPolicy::default());
/// for _ in 0..5 {
///     breaker.on_failure(ClockTime::ZERO);
/// }
/// assert!(!breaker.try_admit(ClockTime::new(999)));
/// assert!(breaker.try_admit(ClockTime::new(1_000)));
/// assert!(!breaker.try_admit(ClockTime::new(1_000)));
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

    /// Current state; stays `Open` until the next trial request is admitted, even if one is due.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Tells whether a request would be admitted now, without a change of state.
    pub fn would_admit(&self, now: ClockTime) -> bool {
        match self.state {
            BreakerState::Closed => true,
            // A trial whose outcome is never reported must not block the target forever.
            BreakerState::Open | BreakerState::HalfOpen => now >= self.open_until,
        }
    }

    /// Admits a request if possible; if the breaker is not closed, this request is the trial.
    pub fn try_admit(&mut self, now: ClockTime) -> bool {
        if !self.would_admit(now) {
            return false;
        }
        if self.state != BreakerState::Closed {
            self.state = BreakerState::HalfOpen;
            self.open_until = now + self.policy.max_open_time;
        }
        true
    }

    /// Records an answered request; returns `true` if it closed the breaker.
    pub fn on_success(&mut self) -> bool {
        let closed = self.state == BreakerState::HalfOpen;
        // An answer to a request sent before the breaker opened says nothing about the target now.
        if self.state != BreakerState::Open {
            self.state = BreakerState::Closed;
            self.failures = 0;
            self.open_time = self.policy.open_time;
        }
        closed
    }

    /// Records a failure caused by the target; returns `true` if it opened the breaker.
    pub fn on_failure(&mut self, now: ClockTime) -> bool {
        match self.state {
            BreakerState::Open => false,
            BreakerState::HalfOpen => {
                self.open_time = (self.open_time * 2).min(self.policy.max_open_time);
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
