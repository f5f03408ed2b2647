use std::net::SocketAddr;
use std::sync::Arc;

use base::IncarnationNumber;
use tokio::sync::mpsc;

use super::NodeIdentity;
use crate::actor::SchedHandle;
use crate::{
    ClaimHandle, EngineClient, EventJournal, PeerClient, PlatformClient, SystemClock, TargetProbe,
    ViewCell,
};

/// Clients, handles and settings that the fleet actor gets from the rest of the node.
pub struct FleetParts {
    /// Name, failure domain and incarnation of this process.
    pub identity: NodeIdentity,
    /// Clock of the process.
    pub clock: SystemClock,
    /// Event journal of the process.
    pub journal: EventJournal,
    /// Client for messages to other nodes.
    pub peers: PeerClient,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Client of the engines, used to send orders.
    pub engine: Arc<dyn EngineClient>,
    /// Client that probes targets.
    pub probe: Arc<dyn TargetProbe>,
    /// Where the actor publishes its view of the fleet for the rest of the node.
    pub view: ViewCell,
    /// Handle of the scheduling actor.
    pub sched: SchedHandle,
    /// Handle of the claim actor, which owns tickets and idempotency keys.
    pub claims: ClaimHandle,
    /// Addresses of nodes to contact until a declaration is accepted.
    pub seeds: Vec<SocketAddr>,
    /// Gets the incarnation of a later process with the name of this node, if one exists.
    pub superseded: mpsc::Sender<IncarnationNumber>,
}
