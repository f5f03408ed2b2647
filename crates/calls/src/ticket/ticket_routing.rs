use base::{ErrorKind, RanState, WorkspaceName};

use crate::{CallFailure, OwnerId, TicketKey, TicketText};

/// Forwards that a call may take; the owner is one away, a successor one more.
const HOP_LIMIT: u8 = 3;

/// What this node knows of the process that owns a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerReach {
    /// Its window was taken over by this process.
    Imported,
    /// It is known, or there is no reason to believe otherwise.
    Reachable,
    /// It handed its window over.
    HandedOver {
        /// The only process that may go on.
        successor: OwnerId,
    },
    /// Another run of the same node replaced it.
    Replaced,
    /// It can't be reached now.
    Unreachable,
}

/// Where a call with a ticket goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketRoute {
    /// Claim it in the own window.
    RunHere,
    /// Claim it in the imported window of this owner.
    RunImported,
    /// Forward it to this process and to no other run of that node.
    Forward(OwnerId),
    /// Forward it to the successor of its owner.
    Successor(OwnerId),
    /// Answer with this failure.
    Answer(CallFailure),
}

/// Decides where calls with tickets go.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{OwnerId, OwnerReach, TicketKey, TicketRoute, TicketRouting, TicketText};
/// let key = TicketKey::new(b"secret");
/// let own = OwnerId::new("n1".parse().unwrap(), IncarnationNumber(7));
/// let other = OwnerId::new("n2".parse().unwrap(), IncarnationNumber(8));
/// let workspace = "tarn".parse().unwrap();
/// let ticket = TicketText::new(&key, &workspace, other.clone(), 0, ClockTime::ZERO);
/// let routing = TicketRouting::new(own, key);
/// let route = routing.decide(&ticket, &workspace, &OwnerReach::Reachable, 0);
/// assert_eq!(route, TicketRoute::Forward(other));
/// ```
#[derive(Clone, Debug)]
pub struct TicketRouting {
    own: OwnerId,
    key: TicketKey,
}

impl TicketRouting {
    /// Creates the routing of the process `own`.
    pub fn new(own: OwnerId, key: TicketKey) -> Self {
        Self { own, key }
    }

    /// Decides on a call that was forwarded `hops` times.
    pub fn decide(
        &self,
        ticket: &TicketText,
        workspace: &WorkspaceName,
        reach: &OwnerReach,
        hops: u8,
    ) -> TicketRoute {
        if !ticket.verify(&self.key, workspace) {
            // The secret may have changed since the ticket was issued and used.
            let failure = CallFailure::new(ErrorKind::BadTicket).with_ran(RanState::Unknown);
            return TicketRoute::Answer(failure);
        }
        if ticket.owner == self.own {
            return TicketRoute::RunHere;
        }
        let unreachable = TicketRoute::Answer(CallFailure::new(ErrorKind::OwnerUnreachable));
        match reach {
            OwnerReach::Imported => TicketRoute::RunImported,
            _ if hops >= HOP_LIMIT => unreachable,
            OwnerReach::HandedOver { successor } => TicketRoute::Successor(successor.clone()),
            // An earlier run of this node issued it, so that run is gone.
            _ if ticket.owner.node == self.own.node => unreachable,
            OwnerReach::Reachable => TicketRoute::Forward(ticket.owner.clone()),
            OwnerReach::Replaced | OwnerReach::Unreachable => unreachable,
        }
    }
}
