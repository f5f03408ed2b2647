use base::{DomainName, IncarnationNumber, NodeName, RevisionNumber, TargetName};
use schema::member::{MemberMessage, NodeState};

use super::ViewState;
use crate::TargetState;

/// What the table wants done or has to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to a node; it may be lost.
    Send {
        /// Receiver.
        to: NodeName,
        /// Message to encode and send.
        message: MemberMessage,
    },
    /// The run or the state of a node changed.
    Changed {
        /// Node that changed.
        node: NodeName,
        /// Failure domain of the node.
        domain: DomainName,
        /// Run that the state belongs to.
        incarnation: IncarnationNumber,
        /// New state.
        state: NodeState,
    },
    /// A node is neither declared nor listed any more and was forgotten.
    Removed {
        /// Node that was forgotten.
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
    /// Direct probes of a node fail while peers reach it: close the connections to it.
    LinkBroken {
        /// Node at the other end.
        node: NodeName,
    },
    /// A node answers direct probes again.
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
    /// A peer accepted a declaration that this node does not have.
    RevisionSeen {
        /// Peer that has it.
        from: NodeName,
        /// Revision of the declaration.
        revision: RevisionNumber,
        /// Digest of the declaration.
        digest: u64,
    },
    /// A payload of another node arrived.
    Payload {
        /// Node that published it.
        origin: NodeName,
        /// Run of that node.
        incarnation: IncarnationNumber,
        /// Which part of the system reads it.
        kind: u8,
        /// Content.
        bytes: Vec<u8>,
    },
    /// A later run of this node's name exists: this process must not go on as that node.
    Superseded {
        /// The later run.
        incarnation: IncarnationNumber,
    },
    /// The reliance on the view changed.
    ViewChanged {
        /// New state of the view.
        state: ViewState,
    },
}
