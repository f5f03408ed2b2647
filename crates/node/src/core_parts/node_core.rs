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
    ClaimHandle, EventJournal, FleetHandle, NodeIdentity, NodeView, PauseDetector, PeerClient,
    PeerMessage, RelayContext, RouteCache, SystemClock, ViewCell, WorkGate,
};

/// Longest time that a request waits for a node that is starting or was paused.
const READY_WAIT: TimeSpan = TimeSpan::from_secs(3);

/// State, handles and clients that the HTTP servers of a node share.
pub struct NodeCore {
    /// Name, failure domain and incarnation of this process.
    pub identity: NodeIdentity,
    /// Clock of the process.
    pub clock: SystemClock,
    /// Event journal of the process.
    pub journal: EventJournal,
    /// The node's view of the fleet.
    pub view: ViewCell,
    /// Cached routing candidates of the current view.
    pub routes: RouteCache,
    /// State that all relays share.
    pub relay: Arc<RelayContext>,
    /// Handle of the claim actor, which owns tickets and idempotency keys.
    pub claims: ClaimHandle,
    /// Handle of the fleet actor, which owns membership, revisions and target states.
    pub fleet: FleetHandle,
    /// Client for messages to other nodes.
    pub peers: PeerClient,
    /// Connections to plain services.
    pub pool: ConnectionPool,
    /// Limits on requests of callers.
    pub limits: CallLimits,
    /// Counts the work in flight and closes for a planned stop.
    pub gate: WorkGate,
    /// Limits how many calls of other failure domains this node runs at once.
    pub overflow: Arc<Semaphore>,
    /// Detects that the process was paused.
    pub pause: PauseDetector,
    /// Number of requests so far, used in their identifiers.
    pub requests: AtomicU64,
}

impl NodeCore {
    /// Creates the identifier of a new request.
    ///
    /// # Panics
    /// Never: a node name with a hyphen and hexadecimal digits is a valid identifier.
    pub fn new_request_id(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let node = &self.identity.node;
        let run = self.identity.incarnation.0;
        let text = format!("{node}-{run:x}-{number:x}");
        text.parse().unwrap_or_else(|_| {
            let without_node = format!("{run:x}-{number:x}");
            without_node
                .parse()
                .expect("hexadecimal digits form an identifier")
        })
    }

    /// Returns the view and its declaration; waits up to `READY_WAIT` for the node to become ready.
    pub async fn wait_for_view(&self) -> Option<(Arc<NodeView>, Arc<FleetDeclaration>)> {
        let wait = Duration::from(READY_WAIT);
        let ready = timeout(wait, self.wait_until_ready()).await;
        let view = ready.ok()?;
        let fleet = view.fleet.clone()?;
        Some((view, fleet))
    }

    /// Tells whether the node accepts calls now.
    pub fn is_ready(&self) -> bool {
        let view = self.view.get();
        view.ready && !self.pause.was_paused() && !self.gate.is_closed()
    }

    async fn wait_until_ready(&self) -> Arc<NodeView> {
        let mut changes = self.view.subscribe();
        loop {
            let view = changes.borrow_and_update().clone();
            if view.ready && !self.pause.was_paused() {
                return view;
            }
            let recheck = Duration::from_millis(20);
            // The tick that ends a pause may leave the view unchanged, so poll as well.
            let _ = timeout(recheck, changes.changed()).await;
        }
    }

    /// Returns the other live nodes of the failure domain and their incarnations.
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
    pub async fn send_to_domain(&self, make: impl Fn() -> PeerMessage) {
        for (peer, _) in self.domain_peers().await {
            self.peers.tell(peer, make());
        }
    }

    /// Records an event of a request in the journal.
    pub fn record_for_request(&self, kind: EventKind, request: &RequestId, detail: &str) {
        self.journal.record_for_request(kind, request, detail);
    }
}
