//! The node process: servers, clients and actors that carry out what the decision logic decides.

mod actor;
mod clock;
mod journal;
mod target;
mod view;

pub use actor::{CallPlacement, SchedActor, SchedHandle};
pub use clock::SystemClock;
pub use journal::EventJournal;
pub use target::{
    CallFuture, EngineCall, EngineClient, EngineEvent, EngineFault, EngineHealth, EngineLink,
    EngineOrder, EngineProgress, EngineStream, HttpEngine, LoadedVersion, parse_load,
};
pub use view::{ModelSpec, NodeView, RouteChoice, RouteTable, TargetPhase, TargetView, ViewCell};
