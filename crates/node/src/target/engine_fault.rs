use base::TimeSpan;
use bytes::Bytes;
use snafu::Snafu;

/// Why a call of an engine gave no stream, or a stream ended early.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum EngineFault {
    /// No byte of the request can have reached the engine.
    #[snafu(display("not sent: {reason}"))]
    Unsent {
        /// What went wrong.
        reason: String,
    },
    /// The host refused the connection: no process listens there. Nothing was sent.
    #[snafu(display("connection refused"))]
    Refused,
    /// The engine said that it did not admit the request.
    #[snafu(display("not admitted"))]
    NotAdmitted {
        /// When the engine wants to be asked again.
        retry_after: Option<TimeSpan>,
    },
    /// The engine answered with an error of its own.
    #[snafu(display("engine answered with status {status}"))]
    Failed {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
    /// The engine does not know the generation.
    #[snafu(display("generation is unknown to the engine"))]
    UnknownGeneration,
    /// The connection failed after the request may have been sent.
    #[snafu(display("connection lost: {reason}"))]
    Lost {
        /// What went wrong.
        reason: String,
    },
    /// Nothing arrived for too long.
    #[snafu(display("connection is silent"))]
    Silent,
    /// The engine sent something that breaks its protocol.
    #[snafu(display("protocol error: {reason}"))]
    Protocol {
        /// What was found.
        reason: String,
    },
}
