//! Model of a continuously batching engine, without I/O.
//!
//! The model follows the scheduling of vLLM (Kwon et al., 2023) with chunked prefill
//! (Agrawal et al., 2024): one step decodes a token for each running sequence and prefills
//! some prompt tokens beside them; sequences grow in paged memory and are preempted when it
//! is full.

mod batch;
mod generation;
mod memory;
mod message;
mod model;
mod profile;
mod time;
mod weight;

pub use generation::{GenerationEnd, GenerationView};
pub use message::{
    EngineEvent, EnginePriority, EngineRequest, EventDetail, FailReason, FullRule, LoadFigures,
    PrefixChain, RefusalReason,
};
pub use model::EngineModel;
pub use profile::EngineProfile;
pub use time::EngineTime;
pub use weight::{WeightError, WeightKey};
