//! The metrics of section 1.2 of the design, computed from what callers see.

mod call_timeline;
mod metrics_recorder;
mod metrics_summary;

pub use call_timeline::{CallOutcome, CallTimeline, FIRST_TOKEN_LIMIT, GAP_LIMIT};
pub use metrics_recorder::{MetricsRecorder, WorkCounters};
pub use metrics_summary::{ClassSummary, CostSummary, MetricsSummary};
