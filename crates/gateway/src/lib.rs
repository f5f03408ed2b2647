//! An entry node that routes calls by host and path, as a process: servers, relays, the feed of
//! published items and the exchange with peers.

mod coordinator;
mod ops;
mod peer;
mod poll;
mod port;
mod relay;
mod serve;
mod settings;
mod state;

pub use peer::{ItemUpdate, NodeDigest};
pub use poll::ViewPoller;
pub use port::{
    AnswerHead, CallCodec, CallHead, CopyAnswer, DecodeFailure, EngineControl, EngineReport,
    GatewayPorts, GenerationSize, HeadMistake, ItemBatch, PortFuture, QuietAsk, ResumePoint,
    SendHead, SettingsSource, SourceFailure, ViewArea, ViewCodec, ViewSource,
};
pub use relay::CallHandler;
pub use serve::{GatewayServer, StartFailure};
pub use settings::{GatewaySettings, RetrySettings};
pub use state::{
    CapacityReservation, GatewayCore, GatewayState, PlacementRefusal, SendCheck, SendRefusal,
};
