//! Answers to the load balancer and to operators.

mod ready_handler;

pub use ready_handler::{MetricsHandler, ReadyHandler};
