use base::{GenerationId, RanState, TargetName, TimeSpan};

use crate::{CallFailure, ConnectionNumber};

/// Output of a [`CallMachine`](crate::CallMachine): a step that the I/O code has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Choose a target; a retry must be paid from the retry budgets.
    ChooseTarget {
        /// Targets that were already tried.
        exclude: Vec<TargetName>,
        /// Whether this is a retry, which adds to the offered load.
        retry: bool,
    },
    /// Open a connection.
    Connect {
        /// Number of the new connection.
        connection: ConnectionNumber,
        /// The target.
        target: TargetName,
    },
    /// Send the request, after reporting `FirstByteSent`.
    Send {
        /// Number of the connection.
        connection: ConnectionNumber,
        /// The target.
        target: TargetName,
        /// Time left until the deadline, to be sent along with the request.
        time_left: Option<TimeSpan>,
    },
    /// Open a new connection and continue the generation on it.
    Resume {
        /// Number of the new connection.
        connection: ConnectionNumber,
        /// The target.
        target: TargetName,
        /// Id of the generation.
        generation: GenerationId,
        /// Offset of the first missing token.
        offset: u64,
    },
    /// Append the tokens of the current event to the answer.
    Deliver {
        /// Offset of the first token.
        offset: u64,
        /// Number of tokens.
        len: u32,
    },
    /// Discard the tokens of the current event.
    Drop,
    /// Discard the collected part of a buffered answer; another generation replaces it.
    DiscardAnswer,
    /// Close a connection and drop its pending writes.
    CloseConnection {
        /// Number of the connection.
        connection: ConnectionNumber,
    },
    /// Tell the target to cancel a generation.
    Cancel {
        /// The target.
        target: TargetName,
        /// Id of the generation.
        generation: GenerationId,
    },
    /// Report `Timer` at this time; replaces the previous timer.
    SetTimer {
        /// Time at which the timer expires.
        at: base::ClockTime,
    },
    /// Answer the caller with this failure now; the work continues so that its answer can be
    /// retained.
    Detach(CallFailure),
    /// Final: the answer is complete.
    Finish {
        /// Number of tokens in the generation.
        count: u64,
    },
    /// Final: the call failed.
    Fail(CallFailure),
    /// Final: the caller disconnected and the call was given up.
    Abandon {
        /// Whether the request ran, as far as is known.
        ran: RanState,
    },
}
