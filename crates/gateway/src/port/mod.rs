//! What a platform has to supply: codecs of calls and of published items, and its clients.

mod call_codec;
mod engine_control;
mod gateway_ports;
mod view_codec;
mod view_source;

use std::future::Future;
use std::pin::Pin;

pub use call_codec::{
    AnswerHead, CallCodec, CallHead, GenerationSize, HeadMistake, QuietAsk, ResumePoint, SendHead,
};
pub use engine_control::{CopyAnswer, EngineControl, EngineReport};
pub use gateway_ports::{GatewayPorts, SettingsSource};
pub use view_codec::{DecodeFailure, ViewCodec};
pub use view_source::{ItemBatch, SourceFailure, ViewArea, ViewSource};

/// Work of a port that is under way.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
