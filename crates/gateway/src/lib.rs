//! HTTP gateway that routes calls by host and path to targets.
//!
//! Contains its servers, the relay of calls, the feed of published configuration and targets, and
//! the exchange of state with peer gateways. A platform supplies the implementations of its ports.

mod coordinator;
mod forward;
mod ops;
mod peer;
mod poll;
mod port;
mod rate;
mod relay;
mod serve;
mod settings;
mod state;
mod trial;

pub use coordinator::{CoordinatorReply, CoordinatorRequest};
pub use forward::{FORWARD_HEADER, ForwardTicket, OUTCOME_HEADER, TicketError};
pub use peer::{
    ExtendedMessage, ItemUpdate, LoadReport, NodeDigest, decode_extended, encode_extended,
};
pub use poll::ViewPoller;
pub use port::{
    BackoffRequest, CallerHeaders, CopyOutcome, DecodeError, EngineControl, EngineReport,
    GatewayPorts, GenerationSize, HeaderCodec, HeaderError, ItemBatch, ItemOrigin, PortFuture,
    RateNotice, RefusalNotice, ResponseHeaders, ResumePoint, SettingsSource, SourceError,
    TargetHeaders, ViewArea, ViewDecoder, ViewSource,
};
pub use rate::{PermitReply, PermitRequest, PermitStep};
pub use relay::CallHandler;
pub use serve::{
    GatewayListeners, GatewayServer, ListenerTask, StartError, log_panics, spawn_supervised,
    with_task_name,
};
pub use settings::{GatewaySettings, RetrySettings};
pub use state::{
    AdmissionCheck, CallTimes, CapacityReservation, GatewayCore, GatewayState, PeerInfo, PeerPaths,
    PlacementRefusal, QueueRequest, SendCheck, SendRefusal, StopPlan,
};
