//! Errors of requests and of bodies.

use std::io;

use snafu::Snafu;

/// Why a body could not be read to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    /// The body is larger than its limit.
    #[snafu(display("body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// There is no memory for the body.
    #[snafu(display("no memory for the body"))]
    NoRoom,
    /// No part of the body arrived in time.
    #[snafu(display("no part of the body arrived in time"))]
    TimedOut,
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Broken {
        /// Cause.
        source: hyper::Error,
    },
    /// The sender ended the body early.
    #[snafu(display("body ended early: {reason}"))]
    Aborted {
        /// What went wrong.
        reason: String,
    },
}

/// Why a request got no usable response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum RequestError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: std::net::SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Connecting took too long; nothing was sent.
    #[snafu(display("connecting to {address} timed out"))]
    ConnectTimeout {
        /// Address of the server.
        address: std::net::SocketAddr,
    },
    /// The connection was closed before any byte was sent.
    #[snafu(display("connection was closed before the request was sent"))]
    Unsent,
    /// The connection failed after a byte of the request may have been sent.
    #[snafu(display("connection failed after the request was sent: {source}"))]
    Sent {
        /// Cause.
        source: hyper::Error,
    },
    /// No response arrived in time, although the request may have been sent.
    #[snafu(display("no response in time"))]
    ResponseTimeout,
    /// The response body could not be read.
    #[snafu(display("response body: {source}"))]
    Body {
        /// Cause.
        source: BodyError,
    },
    /// The response is not what was expected.
    #[snafu(display("unexpected response: {reason}"))]
    Unexpected {
        /// What was found.
        reason: String,
    },
}

impl RequestError {
    /// Whether the host refused the connection, which means that no process listens there.
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Connect { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        }
    }

    /// Whether it is certain that no byte of the request reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::Unsent
        )
    }
}
