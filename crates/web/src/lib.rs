//! HTTP plumbing over `hyper`: a bounded server, a connection pool, bodies and server-sent events.

mod body;
mod client;
mod fault;
mod server;
mod socket;
mod sse;

pub use body::{WebBody, empty_body, full_body, json_body, read_body, stream_body};
pub use client::{ConnectionPool, PoolSettings, PooledSender, SendPhase};
pub use fault::{BodyError, WebError};
pub use server::{HandlerFuture, ServerLimits, StopSignal, WebHandler, WebServer};
pub use socket::SocketTuning;
pub use sse::{EventFrame, EventSplitter};
