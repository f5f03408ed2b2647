//! Targets as the node talks to them.

mod engine_client;
mod engine_event;
mod engine_fault;
mod engine_stream;
mod http_engine;
mod load_text;
mod target_probe;

pub use engine_client::{
    CallFuture, EngineCall, EngineClient, EngineHealth, EngineLink, EngineOrder, EngineProgress,
    LoadedVersion,
};
pub use engine_event::EngineEvent;
pub use engine_fault::EngineFault;
pub use engine_stream::EngineStream;
pub use http_engine::HttpEngine;
pub use load_text::parse_load;
pub use target_probe::{HttpProbe, ProbeFuture, TargetProbe};
