use base::{IncarnationNumber, NodeName, TargetName};
use calls::ProcessId;
use member::MemberMessage;
use orders::{FailureSummary, OrderMessage};
use sched::TargetDigest;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use xtra::Address;

use super::fleet_state::{
    AnswerPull, FindFarNodes, FindNode, FindSuccessor, FleetActor, LeaveFleet, ProbeTarget,
    ReadFleet, ShareFlight, TakeFailures, TakeMember, TakeNote, TakeOrder, TakeRevision,
    TellImport, TickFleet,
};
use super::{ActorQueue, FleetStatus};
use crate::LoadNote;

/// Sends messages to the fleet actor; clones share it.
#[derive(Clone)]
pub struct FleetHandle {
    queue: ActorQueue<FleetActor>,
}

impl FleetHandle {
    /// Creates a handle of the actor at `address`.
    pub fn new(address: Address<FleetActor>) -> Self {
        Self {
            queue: ActorQueue::new(address),
        }
    }

    /// Lets time pass and waits until it was acted on; `None` once the node has stopped.
    pub async fn tick(&self) -> Option<()> {
        self.queue.ask(TickFleet).await
    }

    /// Takes a membership message.
    pub fn take_member(
        &self,
        from: NodeName,
        incarnation: IncarnationNumber,
        message: MemberMessage,
    ) {
        let message = TakeMember {
            from,
            incarnation,
            message,
        };
        self.queue.post(message);
    }

    /// Takes the revision of a peer.
    pub fn take_revision(&self, from: NodeName, digest: RevisionDigest) {
        self.queue.post(TakeRevision { from, digest });
    }

    /// Takes load and health that a peer read.
    pub fn take_note(&self, from: NodeName, note: LoadNote) {
        self.queue.post(TakeNote { from, note });
    }

    /// Takes the work in flight of this node, which goes out with the next load note.
    pub fn share_flight(&self, targets: Vec<TargetDigest>) {
        self.queue.post(ShareFlight { targets });
    }

    /// Takes a message of the order board of a peer.
    pub fn take_order(&self, from: NodeName, message: OrderMessage) {
        self.queue.post(TakeOrder { from, message });
    }

    /// Takes failures of rollouts that another domain knows of.
    pub fn take_failures(&self, summaries: Vec<FailureSummary>) {
        self.queue.post(TakeFailures { summaries });
    }

    /// Asks for a probe of a target now.
    pub fn probe(&self, target: TargetName) {
        self.queue.post(ProbeTarget { target });
    }

    /// Announces a planned stop to the peers.
    pub fn leave(&self) {
        self.queue.post(LeaveFleet);
    }

    /// Tells the domain that this process took a window over.
    pub fn tell_import(&self, owner: ProcessId) {
        self.queue.post(TellImport { owner });
    }

    /// Answers a pull of a peer; `None` once the node has stopped.
    pub async fn answer_pull(&self, request: PullRequest) -> Option<PullAnswer> {
        self.queue.ask(AnswerPull { request }).await
    }

    /// Returns the state of the fleet; `None` once the node has stopped.
    pub async fn status(&self) -> Option<FleetStatus> {
        self.queue.ask(ReadFleet).await
    }

    /// Returns what is known of a node.
    pub async fn find_node(&self, node: NodeName) -> Option<member::NodeSnapshot> {
        self.queue.ask(FindNode { node }).await.flatten()
    }

    /// Returns the process that took the window of `owner` over, or one that may know it.
    pub async fn find_successor(&self, owner: ProcessId) -> Option<ProcessId> {
        self.queue.ask(FindSuccessor { owner }).await.flatten()
    }

    /// Returns live nodes of other failure domains.
    pub async fn far_nodes(&self) -> Vec<NodeName> {
        self.queue.ask(FindFarNodes).await.unwrap_or_default()
    }
}
