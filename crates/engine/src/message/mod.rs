//! What goes into an engine and what comes out.

mod engine_event;
mod engine_request;
mod load_figures;

pub use engine_event::{EngineEvent, EventDetail, FailReason, RefusalReason};
pub use engine_request::{EnginePriority, EngineRequest, FullRule, PrefixChain};
pub use load_figures::LoadFigures;
