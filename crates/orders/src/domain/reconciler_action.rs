use base::{EventKind, NodeName, TargetName};
use smol_str::SmolStr;

use crate::{OrderMessage, TargetOrder};

/// Action that the caller carries out for a [`crate::DomainReconciler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReconcilerAction {
    /// Probe the target now and report its actual state.
    Probe(TargetName),
    /// Send the order if [`crate::DomainReconciler::may_send`] still allows it, then report the
    /// outcome.
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
