use base::TimeSpan;
use bytes::Bytes;
use snafu::Snafu;

/// Why a request to an engine failed, or the stream of a generation ended early.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EngineError {
    /// The request failed before any byte of it was sent.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// What went wrong.
        reason: String,
    },
    /// The host refused the connection, as no process listens there. Nothing was sent.
    #[snafu(display("connection refused"))]
    Refused,
    /// The engine reported that it did not admit the request.
    #[snafu(display("not admitted"))]
    NotAdmitted {
        /// Delay after which the engine would take it.
        retry_after: Option<TimeSpan>,
    },
    /// The engine answered with an error status.
    #[snafu(display("engine answered with status {status}"))]
    ErrorResponse {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: Bytes,
    },
    /// The engine does not know the generation.
    #[snafu(display("generation is unknown to the engine"))]
    UnknownGeneration,
    /// The connection failed after the request may have been sent.
    #[snafu(display("connection lost: {reason}"))]
    ConnectionLost {
        /// What went wrong.
        reason: String,
    },
    /// Nothing was received within the time limit; the request may have been sent.
    #[snafu(display("connection is silent"))]
    Silent,
    /// The engine sent something that violates its protocol.
    #[snafu(display("protocol error: {reason}"))]
    Protocol {
        /// The violation.
        reason: String,
    },
}
