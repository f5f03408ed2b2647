//! Limits of retries, circuit breaking and the detection of silent connections.

mod backoff_policy;
mod circuit_breaker;
mod link_watch;
mod retry_budget;

pub use backoff_policy::BackoffPolicy;
pub use circuit_breaker::{BreakerPolicy, BreakerState, CircuitBreaker};
pub use link_watch::{LinkWatch, ProbeOutcome, WatchPolicy, WatchVerdict};
pub use retry_budget::RetryBudget;
