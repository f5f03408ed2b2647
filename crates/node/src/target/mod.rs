//! Clients of targets: the trait of engine clients, its implementation over HTTP, and the probe of
//! engines and services.

mod engine_client;
mod engine_error;
mod engine_event;
mod engine_stream;
mod http_engine;
mod load_metrics;
mod target_probe;

pub use engine_client::{
    EngineCall, EngineClient, EngineConnection, EngineFuture, EngineHealth, EngineOrder,
    EngineProgress, LoadedVersion,
};
pub use engine_error::EngineError;
pub use engine_event::EngineEvent;
pub use engine_stream::EngineStream;
pub use http_engine::HttpEngine;
pub use load_metrics::parse_load_metrics;
pub use target_probe::{HttpProbe, ProbeFuture, TargetProbe};
