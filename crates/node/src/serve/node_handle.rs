use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, IncarnationNumber, NodeName, TimeSpan};
use calls::{ProcessId, WindowExport};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use web::StopSignal;

use crate::{EventJournal, NodeCore, NodeIdentity, PeerBody, PeerReply};

/// Time for the balancer to notice that the node is not ready any more.
const BALANCER_WAIT: Duration = Duration::from_millis(300);
/// Time for the peers to learn that the node has stopped.
const FAREWELL_WAIT: Duration = Duration::from_millis(200);
/// Times that a ticket window is offered to its successor.
const HANDOVER_TRIES: usize = 5;
/// Longest wait for connections of callers without a request to close.
const CLOSE_WAIT: TimeSpan = TimeSpan::from_secs(2);

/// A running node.
pub struct NodeHandle {
    core: Arc<NodeCore>,
    addresses: [SocketAddr; 3],
    stop: [StopSignal; 3],
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    replaced: StopSignal,
}

impl NodeHandle {
    pub(super) fn new(
        core: Arc<NodeCore>,
        addresses: [SocketAddr; 3],
        stop: [StopSignal; 3],
        callers: JoinHandle<()>,
        tasks: Vec<JoinHandle<()>>,
        replaced: StopSignal,
    ) -> Self {
        Self {
            core,
            addresses,
            stop,
            callers,
            tasks,
            replaced,
        }
    }

    /// Who this node is.
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

    /// Events of the node.
    pub fn journal(&self) -> &EventJournal {
        &self.core.journal
    }

    /// Tells whether the node serves callers.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Waits until a later run of this node's name is seen, after which this one must stop.
    pub async fn superseded(&self) {
        self.replaced.stopped().await;
    }

    /// Stops the node: takes no new work, lets every request end and hands its tickets over.
    pub async fn stop(self) {
        let core = &self.core;
        core.journal.record(EventKind::NodeStopping, "");
        core.gate.close();
        core.claims.seal().await;
        core.fleet.announce_leave();
        sleep(BALANCER_WAIT).await;
        self.stop[0].stop();
        core.gate.wait_until_empty().await;
        self.hand_over().await;
        // Connections without a request close by themselves; a stuck one does not hold the stop.
        let _ = timeout(CLOSE_WAIT.into(), self.callers).await;
        sleep(FAREWELL_WAIT).await;
        core.journal.record(EventKind::NodeStopped, "");
        self.stop[1].stop();
        self.stop[2].stop();
        for task in self.tasks {
            task.abort();
            // The listeners are closed only once their tasks have ended.
            let _ = task.await;
        }
    }

    /// Ends the node at once, as a crash does.
    pub fn kill(self) {
        self.callers.abort();
        for task in self.tasks {
            task.abort();
        }
    }

    /// Hands every ticket window to one live peer of the domain.
    async fn hand_over(&self) {
        let Some(successor) = self.choose_successor().await else {
            return;
        };
        for export in self.core.claims.export(successor.clone()).await {
            let kind = match self.offer(&successor.node, &export).await {
                true => EventKind::WindowHandedOver,
                false => EventKind::WindowRefused,
            };
            self.core
                .journal
                .record(kind, format!("{} to {successor}", export.owner));
        }
    }

    async fn choose_successor(&self) -> Option<ProcessId> {
        let own = &self.core.identity.node;
        let peers = self.core.domain_peers().await;
        let names = peers.iter().map(|(node, _)| node.as_str());
        let best = base::top_owner(&format!("successor/{own}"), names)?;
        let found = peers.iter().find(|(node, _)| node.as_str() == best)?;
        let (node, run): (NodeName, IncarnationNumber) = found.clone();
        Some(ProcessId::new(node, run))
    }

    /// Offers a window until its successor answers; the same one may get it twice.
    async fn offer(&self, to: &NodeName, export: &WindowExport) -> bool {
        for _ in 0..HANDOVER_TRIES {
            let body = PeerBody::Window(Box::new(export.clone()));
            match self.core.peers.ask(to, body).await {
                Ok(PeerReply::Window(taken)) => return taken,
                _ => sleep(FAREWELL_WAIT).await,
            }
        }
        false
    }
}
