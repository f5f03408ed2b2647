use base::{DomainName, IncarnationNumber, NodeName, RevisionNumber, TargetName};
use schema::member::{MemberMessage, NodeState};

use super::ViewState;
use crate::TargetState;

/// What the caller of the table has to carry out or may want to know.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to a node; the message may be lost.
    Send {
        /// Receiver.
        to: NodeName,
        /// Message to encode and send.
        message: MemberMessage,
    },
    /// The run or the state of a node changed.
    NodeChanged {
        /// Node that changed.
        node: NodeName,
        /// Failure domain of the node.
        domain: DomainName,
        /// Run that the state belongs to.
        incarnation: IncarnationNumber,
        /// New state.
        state: NodeState,
    },
    /// A node is neither declared nor listed any more and was removed from the view.
    NodeRemoved {
        /// Node that was removed.
        node: NodeName,
    },
    /// The run or the state of a target changed.
    TargetChanged {
        /// Target that changed.
        target: TargetName,
        /// Failure domain of the target.
        domain: DomainName,
        /// Run that the state belongs to.
        incarnation: IncarnationNumber,
        /// New state.
        state: TargetState,
    },
    /// Direct probes of a node fail while peers reach it; the caller should close its connections
    /// to the node.
    LinkBroken {
        /// Node at the other end.
        node: NodeName,
    },
    /// A node with a broken link answers direct probes again.
    LinkRestored {
        /// Node at the other end.
        node: NodeName,
    },
    /// Another domain was lost or found again.
    DomainChanged {
        /// Domain that changed.
        domain: DomainName,
        /// Whether it can be reached.
        reachable: bool,
    },
    /// A peer accepted a declaration that this node does not have: a newer one, or a different one
    /// of the same revision.
    RevisionMissing {
        /// Peer that has it.
        from: NodeName,
        /// Revision of the declaration.
        revision: RevisionNumber,
        /// Digest of the declaration.
        digest: u64,
    },
    /// A payload of another node arrived.
    PayloadReceived {
        /// Node that published it.
        origin: NodeName,
        /// Run of that node.
        incarnation: IncarnationNumber,
        /// Kind of the payload; tells the caller how to read it.
        kind: u8,
        /// Content.
        bytes: Vec<u8>,
    },
    /// A later run with this node's name exists: this process must stop acting as that node.
    Superseded {
        /// The later run.
        incarnation: IncarnationNumber,
    },
    /// The state of this node's view changed.
    ViewStateChanged {
        /// New state of the view.
        state: ViewState,
    },
}
