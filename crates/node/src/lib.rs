//! The node process: HTTP servers and clients, actors and tasks.
//!
//! They feed events to the state machines of the logic crates (`calls`, `sched`, `member`, `fleet`,
//! `orders`) and carry out the actions that these return.

mod actor;
mod caller;
mod claim;
mod clock;
mod core_parts;
mod gate;
mod gauge;
mod journal;
mod ops;
mod peer;
mod platform;
mod relay;
mod serve;
mod service;
mod target;
mod view;
mod wire;

pub use actor::{
    CallPlacement, FleetActor, FleetHandle, FleetParts, FleetStatus, NodeIdentity, ProbeResult,
    SchedActor, SchedHandle, SchedOutput,
};
pub use caller::{
    CallInput, CallRun, CallerApi, InputFault, RunPart, error_object, error_response,
};
pub use claim::{
    AnswerHead, AnswerPart, ClaimActor, ClaimDecision, ClaimHandle, ClaimId, ClaimRequest,
    ClaimSettings, SharedAnswer,
};
pub use clock::{PauseWatch, SystemClock};
pub use core_parts::{CallLimits, NodeCore};
pub use gate::{WorkGate, WorkPermit};
pub use gauge::{CallMetrics, ControlKind, ControlMetrics};
pub use journal::{EventJournal, event_level};
pub use ops::{MetricsExport, OpsHandler, StatusNode, StatusPage, StatusRevision, StatusTarget};
pub use peer::{
    AddressBook, ConsentRequest, ForwardedCall, HealthUpdate, HelloReply, InquiryRequest,
    LoadUpdate, PeerClient, PeerEnvelope, PeerError, PeerHandler, PeerKey, PeerMessage, PeerReply,
    TargetUpdate,
};
pub use platform::{ListedTarget, PlatformClient, PlatformError};
pub use relay::{
    AnswerCollector, AnswerWriter, CallJob, CallRelay, RelayParts, RelayStep, ResumeKey,
    ResumeToken,
};
pub use serve::{NodeHandle, NodeServer, PolicyFactory, StartError};
pub use service::{ServiceBody, ServiceJob, ServiceRelay, ServiceStep};
pub use target::{
    EngineCall, EngineClient, EngineConnection, EngineError, EngineEvent, EngineFuture,
    EngineHealth, EngineOrder, EngineProgress, EngineStream, HttpEngine, HttpProbe, LoadedVersion,
    ProbeFuture, TargetProbe, parse_load_metrics,
};
pub use view::{ModelSpec, NodeView, RouteChoice, RouteTable, TargetPhase, TargetView, ViewCell};
