//! Synthetic workloads, experiments that simulate them in virtual time, a load generator over
//! HTTP, and reports of both.

pub mod baseline;
mod experiment;
mod failure;
mod http;
mod metrics;
mod report;
mod trial;
mod workload;

pub use experiment::{ExperimentPlan, run_experiment};
pub use failure::LoadError;
pub use http::{CallerKey, LengthHint, LoadOutcome, LoadPlan, SseEvent, SseParser, run_load};
pub use metrics::{
    CallOutcome, CallTimeline, ClassSummary, CostSummary, FIRST_TOKEN_LIMIT, GAP_LIMIT,
    MetricsRecorder, MetricsSummary, WorkCounters,
};
pub use report::{
    ComparisonRow, ExperimentReport, MetricKind, TrialRow, ValueSpread, render_experiment_json,
    render_experiment_page, render_experiment_text, render_metrics, render_outcome,
    render_outcome_json, render_outcome_page,
};
pub use trial::{
    EngineCapacity, NodeContext, PolicyEntry, PolicyFactory, TrialPlan, measure_capacity, run_trial,
};
pub use workload::{
    ArrivalProcess, CallClass, CallSpec, FaultEvent, FaultKind, LengthDistribution, WorkloadKind,
    WorkloadMix, WorkspaceShare,
};
