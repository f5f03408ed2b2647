//! HTTP handlers for the load balancer and for metrics.

mod ready_handler;

pub use ready_handler::{MetricsHandler, ReadyHandler};
