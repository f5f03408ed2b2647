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

/// What the fleet actor needs from the rest of the node.
pub struct FleetParts {
    /// Who this process is.
    pub identity: NodeIdentity,
    /// Clock of the process.
    pub clock: SystemClock,
    /// Events of the process.
    pub journal: EventJournal,
    /// Messages to other nodes.
    pub peers: PeerClient,
    /// The platform.
    pub platform: PlatformClient,
    /// Client of the engines, for orders.
    pub engine: Arc<dyn EngineClient>,
    /// Reads targets.
    pub probe: Arc<dyn TargetProbe>,
    /// The fleet as the node knows it, for the rest of the node.
    pub view: ViewCell,
    /// The scheduling actor.
    pub sched: SchedHandle,
    /// The actor of tickets and keys.
    pub claims: ClaimHandle,
    /// Addresses of nodes to ask before the platform answers.
    pub seeds: Vec<SocketAddr>,
    /// Told when a later run of this node's name exists.
    pub superseded: mpsc::Sender<IncarnationNumber>,
}
