//! Discrete-event simulator of an LLM engine with continuous batching, without I/O.
//!
//! The simulator follows the scheduling of vLLM (Kwon et al., 2023) with chunked prefill
//! (Agrawal et al., 2024): each step decodes one token for each running sequence and
//! prefills some prompt tokens in the same batch; the KV cache of a sequence grows page by page,
//! and sequences are preempted when the memory is full.

mod batch;
mod generation;
mod memory;
mod message;
mod profile;
mod simulator;
mod time;
mod weight;

pub use generation::{GenerationEnd, GenerationSnapshot};
pub use message::{
    EngineEvent, EnginePriority, EngineRequest, EventDetail, FailureReason, LoadStats,
    PreemptionPolicy, RefusalReason, SharedPrefix,
};
pub use profile::EngineProfile;
pub use simulator::EngineSimulator;
pub use time::EngineTime;
pub use weight::{WeightError, WeightKey};
