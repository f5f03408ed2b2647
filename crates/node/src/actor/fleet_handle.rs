use base::{IncarnationNumber, NodeName, TargetName};
use calls::OwnerId;
use member::MemberMessage;
use orders::OrderMessage;
use sched::TargetDigest;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use xtra::{Address, Handler};

use super::fleet_state::{
    AnswerPull, FindFarNodes, FindNode, FindSuccessor, FleetActor, LeaveFleet, ProbeTarget,
    ReadFleet, ShareFlight, TakeMember, TakeNote, TakeOrder, TakeRevision, TellImport, TickFleet,
};
use super::{FleetStatus, post_now};
use crate::LoadNote;

/// Sends messages to the fleet actor; clones share it.
#[derive(Clone)]
pub struct FleetHandle {
    address: Address<FleetActor>,
}

impl FleetHandle {
    /// Creates a handle of the actor at `address`.
    pub fn new(address: Address<FleetActor>) -> Self {
        Self { address }
    }

    /// Lets time pass and waits until it was acted on; `None` once the node has stopped.
    pub async fn tick(&self) -> Option<()> {
        self.ask(TickFleet).await
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
        post_now(&self.address, message);
    }

    /// Takes the revision of a peer.
    pub fn take_revision(&self, from: NodeName, digest: RevisionDigest) {
        post_now(&self.address, TakeRevision { from, digest });
    }

    /// Takes load and health that a peer read.
    pub fn take_note(&self, from: NodeName, note: LoadNote) {
        post_now(&self.address, TakeNote { from, note });
    }

    /// Takes the work in flight of this node, which goes out with the next load note.
    pub fn share_flight(&self, targets: Vec<TargetDigest>) {
        post_now(&self.address, ShareFlight { targets });
    }

    /// Takes a message of the order board of a peer.
    pub fn take_order(&self, from: NodeName, message: OrderMessage) {
        post_now(&self.address, TakeOrder { from, message });
    }

    /// Asks for a probe of a target now.
    pub fn probe(&self, target: TargetName) {
        post_now(&self.address, ProbeTarget { target });
    }

    /// Announces a planned stop to the peers.
    pub fn leave(&self) {
        post_now(&self.address, LeaveFleet);
    }

    /// Tells the domain that this process took a window over.
    pub fn tell_import(&self, owner: OwnerId) {
        post_now(&self.address, TellImport { owner });
    }

    /// Answers a pull of a peer; `None` once the node has stopped.
    pub async fn answer_pull(&self, request: PullRequest) -> Option<PullAnswer> {
        self.ask(AnswerPull { request }).await
    }

    /// Returns the state of the fleet; `None` once the node has stopped.
    pub async fn status(&self) -> Option<FleetStatus> {
        self.ask(ReadFleet).await
    }

    /// Returns what is known of a node.
    pub async fn find_node(&self, node: NodeName) -> Option<member::NodeView> {
        self.ask(FindNode { node }).await.flatten()
    }

    /// Returns the process that took the window of `owner` over, or one that may know it.
    pub async fn find_successor(&self, owner: OwnerId) -> Option<OwnerId> {
        self.ask(FindSuccessor { owner }).await.flatten()
    }

    /// Returns live nodes of other failure domains.
    pub async fn far_nodes(&self) -> Vec<NodeName> {
        self.ask(FindFarNodes).await.unwrap_or_default()
    }

    async fn ask<M>(&self, message: M) -> Option<<FleetActor as Handler<M>>::Return>
    where
        M: Send + 'static,
        FleetActor: Handler<M>,
    {
        self.address.send(message).await.ok()
    }
}
