//! The node process: servers, clients and actors that carry out what the decision logic decides.

mod actor;
mod caller;
mod clock;
mod journal;
mod peer;
mod platform;
mod relay;
mod target;
mod view;

pub use actor::{CallPlacement, SchedActor, SchedHandle};
pub use caller::{error_object, error_response};
pub use clock::SystemClock;
pub use journal::EventJournal;
pub use peer::{
    AddressBook, ConsentAsk, ForwardedCall, HealthNote, InquiryAsk, LoadNote, PeerBody, PeerClient,
    PeerEnvelope, PeerFailure, PeerHello, PeerKey, PeerReply, TargetNote,
};
pub use platform::{PlatformClient, PlatformFailure};
pub use relay::{
    AnswerCollector, AnswerWriter, CallJob, CallRelay, RelayParts, RelayStep, ResumeKey,
    ResumeToken,
};
pub use target::{
    CallFuture, EngineCall, EngineClient, EngineEvent, EngineFault, EngineHealth, EngineLink,
    EngineOrder, EngineProgress, EngineStream, HttpEngine, LoadedVersion, parse_load,
};
pub use view::{ModelSpec, NodeView, RouteChoice, RouteTable, TargetPhase, TargetView, ViewCell};
