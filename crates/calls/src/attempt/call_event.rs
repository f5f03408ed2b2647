use base::{ErrorKind, TargetName, TimeSpan};

use crate::ConnectionNumber;

/// Input of a [`CallMachine`](crate::CallMachine), reported by the I/O code that drives it.
///
/// Events of a connection carry its number, so that those of an abandoned one can be ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent<'a> {
    /// Reply to `ChooseTarget`: a target was chosen.
    TargetChosen {
        /// Target of the next attempt.
        target: TargetName,
    },
    /// Reply to `ChooseTarget`: no target can take the call, which ends it.
    NoTarget {
        /// The reason, such as `NoTarget`, `Overloaded` or `CrashSuspect`.
        kind: ErrorKind,
        /// Delay before the caller may retry.
        retry_after: Option<TimeSpan>,
    },
    /// Reply to `ChooseTarget { retry: true }`: the retry budget is exhausted.
    RetryRefused {
        /// Delay before the caller may retry.
        retry_after: Option<TimeSpan>,
    },
    /// The connection is established.
    Connected {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// The connection could not be established, or nothing was sent on it.
    ConnectFailed {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// Must be reported before the first byte of the request is handed to the socket.
    FirstByteSent {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// The request did not run: the target refused it, or the client library proves it was not
    /// sent.
    NotAdmitted {
        /// Number of the connection.
        connection: ConnectionNumber,
        /// Delay after which the target would take it.
        retry_after: Option<TimeSpan>,
    },
    /// The target reported which generation answers the request.
    Accepted {
        /// Number of the connection.
        connection: ConnectionNumber,
        /// Id of the generation.
        generation: &'a str,
    },
    /// A stream event with `len` tokens from `offset` on.
    Token {
        /// Number of the connection.
        connection: ConnectionNumber,
        /// Id of the generation.
        generation: &'a str,
        /// Offset of the first token.
        offset: u64,
        /// Number of tokens.
        len: u32,
    },
    /// The explicit end event of the stream.
    EndOfStream {
        /// Number of the connection.
        connection: ConnectionNumber,
        /// Id of the generation.
        generation: &'a str,
        /// Number of tokens in the whole generation.
        count: u64,
    },
    /// The connection broke.
    ConnectionLost {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// The connection delivers nothing although a fresh one reaches the target.
    ConnectionSilent {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// The process that ran the attempt is gone or cannot be reached by a fresh connection.
    TargetDied {
        /// The target.
        target: TargetName,
    },
    /// The target answered with an error status.
    TargetFailed {
        /// Number of the connection.
        connection: ConnectionNumber,
        /// HTTP status.
        status: u16,
    },
    /// The target does not know the generation that was to be resumed.
    ResumeRefused {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// The first byte of a buffered answer is about to be sent to the caller.
    AnswerCommitted,
    /// The caller disconnected.
    CallerGone,
    /// The caller's deadline has passed; a `Timer` after the deadline has the same effect.
    DeadlineReached,
    /// The timer set by the last `SetTimer` has expired.
    Timer,
}
