//! The node process: servers, clients and actors that carry out what the decision logic decides.

mod clock;
mod journal;
mod target;

pub use clock::SystemClock;
pub use journal::EventJournal;
pub use target::{
    CallFuture, EngineCall, EngineClient, EngineEvent, EngineFault, EngineHealth, EngineLink,
    EngineOrder, EngineProgress, EngineStream, HttpEngine, LoadedVersion, parse_load,
};
