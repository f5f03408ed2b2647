//! Requests to an engine, and its events and load statistics.

mod engine_event;
mod engine_request;
mod load_stats;

pub use engine_event::{EngineEvent, EventDetail, FailureReason, RefusalReason};
pub use engine_request::{EnginePriority, EngineRequest, PreemptionPolicy, SharedPrefix};
pub use load_stats::LoadStats;
