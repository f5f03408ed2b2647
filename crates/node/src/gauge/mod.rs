//! Figures of calls for operators.

mod call_metrics;

pub use call_metrics::CallMetrics;
