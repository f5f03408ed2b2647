use base::{IncarnationNumber, NodeName, TargetName};
use calls::ProcessId;
use member::MemberMessage;
use orders::{FailureSummary, OrderMessage};
use sched::TargetDigest;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use xtra::Address;

use super::fleet_state::{
    AnnounceImport, AnnounceLeave, AnswerPull, FindNode, FindOtherDomainNodes, FindSuccessor,
    FleetActor, ProbeTarget, ReadStatus, ReceiveFailures, ReceiveLoadUpdate, ReceiveMembership,
    ReceiveOrder, ReceiveRevision, SetInFlight, TickFleet,
};
use super::{ActorQueue, FleetStatus};
use crate::LoadUpdate;

/// Handle that sends messages to the [`FleetActor`]; clones refer to the same actor.
#[derive(Clone)]
pub struct FleetHandle {
    queue: ActorQueue<FleetActor>,
}

impl FleetHandle {
    /// Creates a handle to the actor at `address`.
    pub fn new(address: Address<FleetActor>) -> Self {
        Self {
            queue: ActorQueue::new(address),
        }
    }

    /// Runs the periodic work of the actor and waits for its end; `None` once the node has stopped.
    pub async fn tick(&self) -> Option<()> {
        self.queue.ask(TickFleet).await
    }

    /// Passes on a membership message that a peer sent.
    pub fn receive_membership(
        &self,
        from: NodeName,
        incarnation: IncarnationNumber,
        message: MemberMessage,
    ) {
        let message = ReceiveMembership {
            from,
            incarnation,
            message,
        };
        self.queue.post(message);
    }

    /// Passes on which revision of the declaration a peer has.
    pub fn receive_revision(&self, from: NodeName, digest: RevisionDigest) {
        self.queue.post(ReceiveRevision { from, digest });
    }

    /// Passes on the load and health of targets that a peer measured.
    pub fn receive_load_update(&self, from: NodeName, update: LoadUpdate) {
        self.queue.post(ReceiveLoadUpdate { from, update });
    }

    /// Sets the work in flight of this node, which the next load update reports to the peers.
    pub fn set_in_flight(&self, targets: Vec<TargetDigest>) {
        self.queue.post(SetInFlight { targets });
    }

    /// Passes on a message from the reconciler of a peer.
    pub fn receive_order(&self, from: NodeName, message: OrderMessage) {
        self.queue.post(ReceiveOrder { from, message });
    }

    /// Passes on rollout failures that a node of another failure domain reported.
    pub fn receive_failures(&self, summaries: Vec<FailureSummary>) {
        self.queue.post(ReceiveFailures { summaries });
    }

    /// Requests a probe of a target now, unless one is already running.
    pub fn probe(&self, target: TargetName) {
        self.queue.post(ProbeTarget { target });
    }

    /// Announces the planned stop of this node to the peers.
    pub fn announce_leave(&self) {
        self.queue.post(AnnounceLeave);
    }

    /// Tells the failure domain that this process imported the ticket window of `owner`.
    pub fn announce_import(&self, owner: ProcessId) {
        self.queue.post(AnnounceImport { owner });
    }

    /// Answers the request of a peer for keys of a revision; `None` once the node has stopped.
    pub async fn answer_pull(&self, request: PullRequest) -> Option<PullAnswer> {
        self.queue.ask(AnswerPull { request }).await
    }

    /// Returns the state of the fleet as this node knows it; `None` once the node has stopped.
    pub async fn status(&self) -> Option<FleetStatus> {
        self.queue.ask(ReadStatus).await
    }

    /// Returns what this node knows about another node.
    pub async fn find_node(&self, node: NodeName) -> Option<member::NodeSnapshot> {
        self.queue.ask(FindNode { node }).await.flatten()
    }

    /// Returns the process that imported the ticket window of `owner`, or a node that may know it.
    pub async fn find_successor(&self, owner: ProcessId) -> Option<ProcessId> {
        self.queue.ask(FindSuccessor { owner }).await.flatten()
    }

    /// Returns the live nodes of other reachable failure domains.
    pub async fn other_domain_nodes(&self) -> Vec<NodeName> {
        self.queue
            .ask(FindOtherDomainNodes)
            .await
            .unwrap_or_default()
    }
}
