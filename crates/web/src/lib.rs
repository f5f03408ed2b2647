//! HTTP/1 server and client connection pool on top of `hyper`, with limits on size and time;
//! request and response bodies, and parsing of server-sent events.

mod body;
mod client;
mod error;
mod header_limit;
mod server;
mod socket;
mod sse;

pub use body::{
    BodyBuffer, WebBody, empty_body, full_body, json_body, read_body, read_body_if, stream_body,
};
pub use client::{ConnectionPool, PoolSettings, PooledConnection, ResponseLimits, ReusePolicy};
pub use error::{BodyError, RequestError};
pub use server::{
    HandlerFuture, ServerLimits, StopSignal, WebHandler, WebServer, is_transient_bind_error,
};
pub use socket::SocketOptions;
pub use sse::{EventFrame, EventSplitter};
