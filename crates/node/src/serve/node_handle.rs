use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, IncarnationNumber, NodeName, TimeSpan};
use calls::{ProcessId, WindowExport};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use web::StopSignal;

use crate::{EventJournal, NodeCore, NodeIdentity, PeerMessage, PeerResponse};

/// Delay before the caller listener closes, for the load balancer to see that the node is not
/// ready.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);
/// Delay before the peer listener closes, for the peers to learn that the node has left; also the
/// delay between two offers of a ticket window.
const LEAVE_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of times that a ticket window is offered to its successor.
const HANDOVER_ATTEMPTS: usize = 5;
/// Maximum time to wait until idle connections of callers are closed.
const CLOSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Handle of a running node, to stop it and to read its addresses and events.
pub struct NodeHandle {
    core: Arc<NodeCore>,
    /// Addresses for callers, operators and peers.
    addresses: [SocketAddr; 3],
    /// Signals that stop the listeners for callers, operators and peers.
    stop: [StopSignal; 3],
    /// Task of the listener for callers.
    callers: JoinHandle<()>,
    /// All other tasks of the node.
    tasks: Vec<JoinHandle<()>>,
    /// Given when a later incarnation of this node is seen.
    superseded: StopSignal,
}

impl NodeHandle {
    pub(super) fn new(
        core: Arc<NodeCore>,
        addresses: [SocketAddr; 3],
        stop: [StopSignal; 3],
        callers: JoinHandle<()>,
        tasks: Vec<JoinHandle<()>>,
        superseded: StopSignal,
    ) -> Self {
        Self {
            core,
            addresses,
            stop,
            callers,
            tasks,
            superseded,
        }
    }

    /// Name, failure domain and incarnation of the node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.core.identity
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.addresses[1]
    }

    /// Address for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        self.addresses[2]
    }

    /// Journal of the node's events.
    pub fn journal(&self) -> &EventJournal {
        &self.core.journal
    }

    /// Tells whether the node serves callers.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Waits until a later incarnation of this node is seen. This process must stop then.
    pub async fn superseded(&self) {
        self.superseded.stopped().await;
    }

    /// Stops the node: refuses new requests, waits for those in flight, hands its ticket windows
    /// over and closes the listeners.
    pub async fn stop(self) {
        let core = &self.core;
        core.journal.record(EventKind::NodeStopping, "");
        core.gate.close();
        core.claims.seal().await;
        core.fleet.announce_leave();
        sleep(LOAD_BALANCER_DELAY).await;
        self.stop[0].stop();
        core.gate.wait_until_empty().await;
        self.hand_over().await;
        // Idle connections close by themselves; the time limit keeps a stuck one from delaying the
        // stop.
        let _ = timeout(CLOSE_TIMEOUT.into(), self.callers).await;
        sleep(LEAVE_DELAY).await;
        core.journal.record(EventKind::NodeStopped, "");
        self.stop[1].stop();
        self.stop[2].stop();
        for task in self.tasks {
            task.abort();
            // A listener is closed only when its task has ended.
            let _ = task.await;
        }
    }

    /// Aborts the tasks of the node at once, as in a crash.
    pub fn kill(self) {
        self.callers.abort();
        for task in self.tasks {
            task.abort();
        }
    }

    /// Hands all ticket windows over to one live peer of the domain.
    async fn hand_over(&self) {
        let Some(successor) = self.choose_successor().await else {
            return;
        };
        for export in self.core.claims.export_windows(successor.clone()).await {
            let kind = match self.offer(&successor.node, &export).await {
                true => EventKind::WindowHandedOver,
                false => EventKind::WindowRefused,
            };
            self.core
                .journal
                .record(kind, format!("{} to {successor}", export.owner));
        }
    }

    /// Chooses the live peer of the domain that ranks highest by rendezvous hashing.
    async fn choose_successor(&self) -> Option<ProcessId> {
        let own = &self.core.identity.node;
        let peers = self.core.domain_peers().await;
        let names = peers.iter().map(|(node, _)| node.as_str());
        let best = base::top_owner(&format!("successor/{own}"), names)?;
        let found = peers.iter().find(|(node, _)| node.as_str() == best)?;
        let (node, incarnation): (NodeName, IncarnationNumber) = found.clone();
        Some(ProcessId::new(node, incarnation))
    }

    /// Offers a window to its successor until it responds; returns whether it imported the window.
    /// It may receive the window more than once, if a response is lost.
    async fn offer(&self, to: &NodeName, export: &WindowExport) -> bool {
        for _ in 0..HANDOVER_ATTEMPTS {
            let body = PeerMessage::Window(Box::new(export.clone()));
            match self.core.peers.ask(to, body).await {
                Ok(PeerResponse::Window(imported)) => return imported,
                _ => sleep(LEAVE_DELAY).await,
            }
        }
        false
    }
}
