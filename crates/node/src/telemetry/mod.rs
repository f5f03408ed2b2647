//! Metrics of calls and of control traffic.

mod call_metrics;
mod control_metrics;

pub use call_metrics::CallMetrics;
pub use control_metrics::{ControlKind, ControlMetrics};
