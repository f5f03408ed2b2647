//! Workloads, experiments in virtual time, load over HTTP, and their reports.

pub mod baseline;
mod experiment;
mod failure;
mod http;
mod measure;
mod report;
mod trial;
mod workload;

pub use experiment::{ExperimentPlan, run_experiment};
pub use failure::LoadError;
pub use http::{CallerKey, LengthHint, LoadOutcome, LoadPlan, SseEvent, SseParser, run_load};
pub use measure::{
    CallOutcome, CallTimeline, ClassSummary, CostSummary, FIRST_TOKEN_LIMIT, GAP_LIMIT,
    MeasureBook, MeasureSummary, WorkTally,
};
pub use report::{
    ComparisonRow, ExperimentReport, MeasureMetric, RatioSpread, TrialRow, render_json,
    render_measures, render_outcome, render_outcome_json, render_outcome_page, render_page,
    render_text,
};
pub use trial::{
    EngineCapacity, NodeSeat, PolicyEntry, PolicyFactory, TrialPlan, measure_capacity, run_trial,
};
pub use workload::{
    ArrivalLaw, CallClass, CallSpec, FaultEvent, FaultKind, LengthLaw, WorkloadKind, WorkloadMix,
    WorkspaceShare,
};
