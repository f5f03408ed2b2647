use base::{EventKind, NodeName, TargetName};
use smol_str::SmolStr;

use crate::{OrderMessage, TargetOrder};

/// What the shell is to do for a board.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BoardAction {
    /// Probe the target now and report what was found.
    Probe(TargetName),
    /// Send the order if [`crate::OrderBoard::may_send`] still says so, then report the outcome.
    Order(TargetOrder),
    /// Send a message to a node of the domain; it may be lost.
    Send {
        /// Receiver.
        to: NodeName,
        /// Message.
        message: OrderMessage,
    },
    /// Log an event.
    Log {
        /// Kind of event.
        kind: EventKind,
        /// Details in words.
        detail: SmolStr,
    },
}
