use base::{ErrorKind, RanState, WorkspaceName};

use crate::{CallFailure, ProcessId, SignedTicket, SigningKey};

/// How often a call may be forwarded: the owner is one hop away, its successor one more.
const HOP_LIMIT: u8 = 3;

/// What this process knows of the process that owns a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerStatus {
    /// This process imported the owner's ticket window.
    Imported,
    /// The owner runs, as far as this process knows.
    Reachable,
    /// The owner handed its ticket window over to another process.
    HandedOver {
        /// The only process that may run the tickets now.
        successor: ProcessId,
    },
    /// A later run of the same node replaced the owner.
    Replaced,
    /// The owner can't be reached now.
    Unreachable,
}

/// Where to send a call that carries a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketRoute {
    /// Claim the ticket in this process's own window.
    OwnWindow,
    /// Claim the ticket in the window that was imported from its owner.
    ImportedWindow,
    /// Forward the call to this process and to no other run of that node.
    Forward(ProcessId),
    /// Forward the call to the process that the owner's window was handed over to.
    ForwardToSuccessor(ProcessId),
    /// Answer the call with this failure.
    Fail(CallFailure),
}

/// Verifies the tickets of calls and decides which process each call goes to.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{OwnerStatus, ProcessId, SignedTicket, SigningKey, TicketRoute, TicketRouter};
/// let key = SigningKey::new(b"secret");
/// let local = ProcessId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let other = ProcessId::new("n2".parse().unwrap(), IncarnationNumber(8));
/// let workspace = "tarn".parse().unwrap();
/// let ticket = SignedTicket::new(&key, &workspace, other.clone(), 0, ClockTime::ZERO);
/// let router = TicketRouter::new(local, key);
/// let route = router.route(&ticket, &workspace, &OwnerStatus::Reachable, 0);
/// assert_eq!(route, TicketRoute::Forward(other));
/// ```
#[derive(Clone, Debug)]
pub struct TicketRouter {
    local: ProcessId,
    key: SigningKey,
}

impl TicketRouter {
    /// Creates the router of the process `local`.
    pub fn new(local: ProcessId, key: SigningKey) -> Self {
        Self { local, key }
    }

    /// Decides where a call goes that was forwarded `hops` times already.
    pub fn route(
        &self,
        ticket: &SignedTicket,
        workspace: &WorkspaceName,
        status: &OwnerStatus,
        hops: u8,
    ) -> TicketRoute {
        if !ticket.verify(&self.key, workspace) {
            // The secret may have changed since the ticket was issued and used, so a run can't be
            // ruled out.
            let failure = CallFailure::new(ErrorKind::BadTicket).with_ran(RanState::Unknown);
            return TicketRoute::Fail(failure);
        }
        if ticket.owner == self.local {
            return TicketRoute::OwnWindow;
        }
        let unreachable = TicketRoute::Fail(CallFailure::new(ErrorKind::OwnerUnreachable));
        match status {
            OwnerStatus::Imported => TicketRoute::ImportedWindow,
            _ if hops >= HOP_LIMIT => unreachable,
            OwnerStatus::HandedOver { successor } => {
                TicketRoute::ForwardToSuccessor(successor.clone())
            }
            // An earlier run of this node issued the ticket, and that process has ended.
            _ if ticket.owner.node == self.local.node => unreachable,
            OwnerStatus::Reachable => TicketRoute::Forward(ticket.owner.clone()),
            OwnerStatus::Replaced | OwnerStatus::Unreachable => unreachable,
        }
    }
}
