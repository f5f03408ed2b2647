//! Ports: the traits that a platform implements for the gateway. They are the codecs of its headers
//! and published items, and the clients of its store and engines.

mod engine_control;
mod gateway_ports;
mod header_codec;
mod view_decoder;
mod view_source;

use std::future::Future;
use std::pin::Pin;

pub use engine_control::{CopyOutcome, EngineControl, EngineReport};
pub use gateway_ports::{GatewayPorts, SettingsSource};
pub use header_codec::{
    BackoffRequest, CallerHeaders, GenerationSize, HeaderCodec, HeaderError, RateNotice,
    RefusalNotice, ResponseHeaders, ResumePoint, TargetHeaders,
};
pub use view_decoder::{DecodeError, ViewDecoder};
pub use view_source::{ItemBatch, ItemOrigin, SourceError, ViewArea, ViewSource};

/// Boxed future that an async port method returns.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
