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
mod headers;
mod journal;
mod ops;
mod peer;
mod platform;
mod relay;
mod serve;
mod service;
mod target;
mod telemetry;
mod view;

pub use actor::{
    CallPlacement, FleetActor, FleetHandle, FleetParts, FleetStatus, NodeIdentity, ProbeResult,
    SchedActor, SchedHandle, SchedOutput,
};
pub use caller::{
    ActiveCall, CallInput, CallerApi, RequestError, ResponsePart, error_object, error_response,
};
pub use claim::{
    AnswerHead, AnswerPart, ClaimActor, ClaimDecision, ClaimHandle, ClaimId, ClaimRequest,
    ClaimSettings, SharedAnswer,
};
pub use clock::{PauseDetector, SystemClock};
pub use core_parts::{CallLimits, NodeCore};
pub use gate::{WorkGate, WorkPermit};
pub use journal::{EventJournal, event_level};
pub use ops::{MetricsExport, OpsHandler, StatusNode, StatusPage, StatusRevision, StatusTarget};
pub use peer::{
    AddressBook, ConsentRequest, ForwardedCall, HealthUpdate, HelloResponse, InquiryRequest,
    LoadUpdate, PeerClient, PeerEnvelope, PeerError, PeerHandler, PeerKey, PeerMessage,
    PeerResponse, TargetUpdate,
};
pub use platform::{ListedTarget, PlatformClient, PlatformError};
pub use relay::{
    AnswerCollector, AnswerWriter, GenerationJob, GenerationOutput, GenerationRelay, RelayContext,
    ResumeKey, ResumeToken,
};
pub use serve::{NodeHandle, NodeServer, PolicyFactory, StartError};
pub use service::{ServiceBody, ServiceJob, ServiceOutput, ServiceRelay};
pub use target::{
    EngineCall, EngineClient, EngineConnection, EngineError, EngineEvent, EngineFuture,
    EngineHealth, EngineOrder, EngineProgress, EngineStream, HttpEngine, HttpProbe, LoadedVersion,
    ProbeFuture, TargetProbe, parse_load_metrics,
};
pub use telemetry::{CallMetrics, ControlKind, ControlMetrics};
pub use view::{
    ModelSpec, NodeView, RouteCache, RouteCandidates, TargetPhase, TargetView, ViewCell,
};
