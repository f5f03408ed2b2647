//! Retry budgets, backoff, circuit breakers and the detection of silent connections.

mod backoff_policy;
mod circuit_breaker;
mod connection_monitor;
mod retry_budget;

pub use backoff_policy::BackoffPolicy;
pub use circuit_breaker::{BreakerPolicy, BreakerState, CircuitBreaker};
pub use connection_monitor::{ConnectionMonitor, MonitorPolicy, MonitorVerdict, ProbeOutcome};
pub use retry_budget::RetryBudget;
