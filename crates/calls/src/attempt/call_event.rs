use base::{ErrorKind, TargetName, TimeSpan};

use crate::LinkNumber;

/// What the I/O shell tells a [`CallMachine`](crate::CallMachine).
///
/// Events of a connection carry its number; those of an abandoned connection have no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent<'a> {
    /// Answers `ChooseTarget`.
    TargetChosen {
        /// Target of the next attempt.
        target: TargetName,
    },
    /// Answers `ChooseTarget`: the call ends here.
    NoTarget {
        /// Why there is none: `NoTarget`, `Overloaded`, `CrashSuspect` and others.
        kind: ErrorKind,
        /// When to come back.
        retry_after: Option<TimeSpan>,
    },
    /// Answers `ChooseTarget { retry: true }`: the retry budget is used up.
    RetryRefused {
        /// When to come back.
        retry_after: Option<TimeSpan>,
    },
    /// The connection is ready.
    Connected {
        /// The connection.
        link: LinkNumber,
    },
    /// The connection could not be set up.
    ConnectFailed {
        /// The connection.
        link: LinkNumber,
    },
    /// Told before the first byte of the request is handed to the socket.
    FirstByteSent {
        /// The connection.
        link: LinkNumber,
    },
    /// The target says, or the client library proves, that the request was not admitted.
    NotAdmitted {
        /// The connection.
        link: LinkNumber,
        /// When the target would take it.
        retry_after: Option<TimeSpan>,
    },
    /// The target named the generation that answers.
    Accepted {
        /// The connection.
        link: LinkNumber,
        /// The generation.
        generation: &'a str,
    },
    /// A stream event with `len` tokens from `offset` on.
    Token {
        /// The connection.
        link: LinkNumber,
        /// The generation.
        generation: &'a str,
        /// Offset of the first token.
        offset: u64,
        /// Number of tokens.
        len: u32,
    },
    /// The explicit end of the stream.
    EndOfStream {
        /// The connection.
        link: LinkNumber,
        /// The generation.
        generation: &'a str,
        /// Tokens in the whole generation.
        count: u64,
    },
    /// The connection broke.
    LinkLost {
        /// The connection.
        link: LinkNumber,
    },
    /// The connection is silent while a fresh one reaches the target.
    LinkSilent {
        /// The connection.
        link: LinkNumber,
    },
    /// The process that ran the attempt is gone or can't be reached by a fresh connection.
    TargetDied {
        /// The target.
        target: TargetName,
    },
    /// The target answered with an error of its own.
    TargetFailed {
        /// The connection.
        link: LinkNumber,
        /// HTTP status.
        status: u16,
    },
    /// The target doesn't know the generation that was to be resumed.
    ResumeRefused {
        /// The connection.
        link: LinkNumber,
    },
    /// The first byte of a whole answer goes to the caller.
    AnswerCommitted,
    /// The caller closed its connection.
    CallerGone,
    /// The caller's deadline passed; `Timer` has the same effect once it is due.
    DeadlineReached,
    /// The time of the last `SetTimer` has come.
    Timer,
}
