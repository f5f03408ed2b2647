//! The node process: servers, clients and actors that carry out what the decision logic decides.

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
    ActiveCall, CallInput, CallerApi, RequestError, ResponsePart, error_object, error_response,
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
pub use ops::{MetricsExport, OpsServer, StatusNode, StatusPage, StatusRevision, StatusTarget};
pub use peer::{
    AddressBook, ConsentAsk, ForwardedCall, HealthNote, InquiryAsk, LoadNote, PeerBody, PeerClient,
    PeerEnvelope, PeerFailure, PeerHello, PeerKey, PeerReply, PeerServer, TargetNote,
};
pub use platform::{ListedTarget, PlatformClient, PlatformFailure};
pub use relay::{
    AnswerCollector, AnswerWriter, GenerationJob, GenerationOutput, GenerationRelay, RelayContext,
    ResumeKey, ResumeToken,
};
pub use serve::{NodeHandle, NodeServer, PolicyMaker, StartError};
pub use service::{ServiceBody, ServiceJob, ServiceOutput, ServiceRelay};
pub use target::{
    CallFuture, EngineCall, EngineClient, EngineEvent, EngineFault, EngineHealth, EngineLink,
    EngineOrder, EngineProgress, EngineStream, HttpEngine, HttpProbe, LoadedVersion, ProbeFuture,
    TargetProbe, parse_load,
};
pub use view::{ModelSpec, NodeView, RouteChoice, RouteTable, TargetPhase, TargetView, ViewCell};
