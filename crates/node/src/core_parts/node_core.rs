use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base::{EventKind, IncarnationNumber, NodeName, RequestId, TimeSpan};
use fleet::FleetDeclaration;
use member::NodeState;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use web::ConnectionPool;

use super::CallLimits;
use crate::{
    ClaimHandle, EventJournal, FleetHandle, NodeIdentity, NodeView, PauseWatch, PeerBody,
    PeerClient, RelayContext, RouteTable, SystemClock, ViewCell, WorkGate,
};

/// Longest wait of a request for a node that starts or was paused.
const READY_WAIT: TimeSpan = TimeSpan::from_secs(3);

/// What the listeners of a node share.
pub struct NodeCore {
    /// Who this process is.
    pub identity: NodeIdentity,
    /// Clock of the process.
    pub clock: SystemClock,
    /// Events of the process.
    pub journal: EventJournal,
    /// The fleet as the node knows it.
    pub view: ViewCell,
    /// Route choices of the current view.
    pub routes: RouteTable,
    /// What every relay shares.
    pub relay: Arc<RelayContext>,
    /// Tickets and keys.
    pub claims: ClaimHandle,
    /// Membership, revisions and targets.
    pub fleet: FleetHandle,
    /// Messages to other nodes.
    pub peers: PeerClient,
    /// Connections to plain services.
    pub pool: ConnectionPool,
    /// Bounds of what callers send.
    pub limits: CallLimits,
    /// Work in flight.
    pub gate: WorkGate,
    /// Calls of other failure domains that this node runs at once.
    pub overflow: Arc<Semaphore>,
    /// Tells whether the process was paused.
    pub pause: PauseWatch,
    /// Requests so far, for their identifiers.
    pub requests: AtomicU64,
}

impl NodeCore {
    /// Makes the identifier of a new request.
    ///
    /// # Panics
    /// Never: a node name with a hyphen and hexadecimal digits is a valid identifier.
    pub fn new_request(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let node = &self.identity.node;
        let run = self.identity.incarnation.0;
        let text = format!("{node}-{run:x}-{number:x}");
        text.parse().unwrap_or_else(|_| {
            let short = format!("{run:x}-{number:x}");
            short
                .parse()
                .expect("hexadecimal digits form an identifier")
        })
    }

    /// Returns the view and the declaration, after waiting a little for a node that starts.
    pub async fn ready_view(&self) -> Option<(Arc<NodeView>, Arc<FleetDeclaration>)> {
        let wait = Duration::from(READY_WAIT);
        let ready = timeout(wait, self.wait_ready()).await;
        let view = ready.ok()?;
        let fleet = view.fleet.clone()?;
        Some((view, fleet))
    }

    /// Tells whether the node serves callers now.
    pub fn is_ready(&self) -> bool {
        let view = self.view.get();
        view.ready && !self.pause.is_paused() && !self.gate.is_closed()
    }

    async fn wait_ready(&self) -> Arc<NodeView> {
        let mut changes = self.view.subscribe();
        loop {
            let view = changes.borrow_and_update().clone();
            if view.ready && !self.pause.is_paused() {
                return view;
            }
            let recheck = Duration::from_millis(20);
            // A pause ends by a tick, which need not change the view.
            let _ = timeout(recheck, changes.changed()).await;
        }
    }

    /// Returns the other live nodes of the failure domain with their runs.
    pub async fn domain_peers(&self) -> Vec<(NodeName, IncarnationNumber)> {
        let Some(status) = self.fleet.status().await else {
            return Vec::new();
        };
        let others = status.nodes.into_iter().filter(|peer| {
            let live = matches!(peer.state, NodeState::Alive | NodeState::Suspect);
            live && peer.node != self.identity.node
        });
        others.map(|peer| (peer.node, peer.incarnation)).collect()
    }

    /// Sends a message to the other live nodes of the failure domain.
    pub async fn tell_domain(&self, make: impl Fn() -> PeerBody) {
        for (peer, _) in self.domain_peers().await {
            self.peers.tell(peer, make());
        }
    }

    /// Notes an event of a request.
    pub fn note(&self, kind: EventKind, request: &RequestId, detail: &str) {
        self.journal.note_request(kind, request, detail);
    }
}
