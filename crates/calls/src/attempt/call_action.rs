use base::{GenerationId, RanState, TargetName, TimeSpan};

use crate::{CallFailure, LinkNumber};

/// What a [`CallMachine`](crate::CallMachine) wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAction {
    /// Choose a target; for a retry, take it from the retry budgets first.
    ChooseTarget {
        /// Targets tried before.
        exclude: Vec<TargetName>,
        /// This adds to the offered load.
        retry: bool,
    },
    /// Open a connection.
    Connect {
        /// Number of the new connection.
        link: LinkNumber,
        /// The target.
        target: TargetName,
    },
    /// Send the request, after telling `FirstByteSent`.
    Send {
        /// The connection.
        link: LinkNumber,
        /// The target.
        target: TargetName,
        /// Time left to the deadline, to be passed on.
        time_left: Option<TimeSpan>,
    },
    /// Open a fresh connection and continue the generation on it.
    Resume {
        /// Number of the new connection.
        link: LinkNumber,
        /// The target.
        target: TargetName,
        /// The generation.
        generation: GenerationId,
        /// Offset of the first missing token.
        offset: u64,
    },
    /// Pass the tokens of the current event to the answer.
    Deliver {
        /// Offset of the first token.
        offset: u64,
        /// Number of tokens.
        len: u32,
    },
    /// Drop the tokens of the current event.
    Drop,
    /// Drop what was collected of a whole answer; another generation follows.
    DiscardAnswer,
    /// Close a connection and use it no more, not even for pending writes.
    CloseLink {
        /// The connection.
        link: LinkNumber,
    },
    /// Tell the target to stop a generation.
    Cancel {
        /// The target.
        target: TargetName,
        /// The generation.
        generation: GenerationId,
    },
    /// Call back with `Timer` at this time; replaces the earlier timer.
    SetTimer {
        /// When.
        at: base::ClockTime,
    },
    /// Give the caller this failure now; the work goes on for the retained answer.
    Detach(CallFailure),
    /// Final: the answer is complete.
    Finish {
        /// Tokens in the answer.
        count: u64,
    },
    /// Final: the call failed.
    Fail(CallFailure),
    /// Final: the caller left and the work was stopped.
    Abandon {
        /// Whether it ran.
        ran: RanState,
    },
}
