use std::sync::{Arc, OnceLock};

use base::{ErrorKind, NodeName, RevisionNumber, WorkspaceName};
use calls::{
    CallFailure, CallOutcome, ConsentStatus, ConsentVerdict, InquiryAnswer, KeyId, OwnerStatus,
    ProcessId, SignedTicket, SigningKey, TicketRoute, TicketRouter, WindowExport,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use xtra::{Address, Handler};

use super::claim_actor::ClaimActor;
use super::claim_message::{
    ClaimKey, ClaimTicket, ExportWindows, FinishClaim, GiveConsent, GiveTraces, HasImport,
    ImportWindow, IssueTicket, KeyDecision, NodeGone, PeerRevision, SealWindows, SetNodes,
    TakeInquiry,
};
use super::{ClaimDecision, ClaimId, ClaimRequest};
use crate::actor::{ActorQueue, FleetHandle};
use crate::{ConsentAsk, InquiryAsk, PeerBody, PeerClient, PeerReply};

/// Attempts to get the consent of a witness; a key home may change meanwhile.
const CONSENT_ROUNDS: usize = 3;

/// Asks the claim actor, and other nodes on its behalf; clones share it.
#[derive(Clone)]
pub struct ClaimHandle {
    queue: ActorQueue<ClaimActor>,
    own: ProcessId,
    router: TicketRouter,
    peers: PeerClient,
    /// Set once the fleet actor runs, which needs this handle itself.
    fleet: Arc<OnceLock<FleetHandle>>,
}

impl ClaimHandle {
    /// Creates the handle of the actor at `address`.
    pub fn new(
        address: Address<ClaimActor>,
        own: ProcessId,
        key: SigningKey,
        peers: PeerClient,
    ) -> Self {
        let router = TicketRouter::new(own.clone(), key);
        Self {
            queue: ActorQueue::new(address),
            own,
            router,
            peers,
            fleet: Arc::default(),
        }
    }

    /// Sets the handle of the fleet actor; the first one stands.
    pub fn set_fleet(&self, fleet: FleetHandle) {
        // Only the start of the node calls this.
        let _ = self.fleet.set(fleet);
    }

    /// Issues a ticket; `None` if the window is full or sealed.
    pub async fn issue(&self, workspace: WorkspaceName) -> Option<SignedTicket> {
        self.ask(IssueTicket { workspace }).await.flatten()
    }

    /// Decides on a request with an `Idempotency-Key`.
    pub async fn decide(&self, request: &ClaimRequest) -> ClaimDecision {
        match request.key.parse::<SignedTicket>() {
            Ok(ticket) => self.decide_ticket(request, ticket).await,
            Err(_) => self.decide_key(request).await,
        }
    }

    /// Records the end of a run.
    pub fn finish(&self, id: ClaimId, outcome: CallOutcome) {
        self.tell(FinishClaim { id, outcome });
    }

    /// Takes the declared nodes of a revision.
    pub fn set_revision(&self, revision: RevisionNumber, names: Vec<NodeName>) {
        self.tell(SetNodes { revision, names });
    }

    /// Notes that a peer acts on a revision.
    pub fn peer_revision(&self, node: NodeName, revision: RevisionNumber) {
        self.tell(PeerRevision { node, revision });
    }

    /// Notes that the VM of a node is gone for good.
    pub fn node_gone(&self, node: NodeName) {
        self.tell(NodeGone { node });
    }

    /// Gives consent as a witness.
    pub async fn give_consent(&self, key: KeyId, home: ProcessId) -> ConsentVerdict {
        let given = self.ask(GiveConsent { key, home }).await;
        given.unwrap_or(ConsentVerdict::NotWitness)
    }

    /// Gives traces of a key; `None` before the declared nodes are known.
    pub async fn give_traces(&self, key: KeyId, asker: ProcessId) -> Option<InquiryAnswer> {
        self.ask(GiveTraces { key, asker }).await.flatten()
    }

    /// Takes a window over.
    pub async fn import(&self, export: WindowExport) -> bool {
        self.ask(ImportWindow { export }).await.unwrap_or(false)
    }

    /// Seals all windows and tells how many of their runs are in flight.
    pub async fn seal(&self) -> usize {
        self.ask(SealWindows).await.unwrap_or(0)
    }

    /// Exports all windows for a successor.
    pub async fn export(&self, successor: ProcessId) -> Vec<WindowExport> {
        self.ask(ExportWindows { successor })
            .await
            .unwrap_or_default()
    }

    async fn decide_ticket(&self, request: &ClaimRequest, ticket: SignedTicket) -> ClaimDecision {
        let status = self.find_owner(&ticket.owner).await;
        let route = self
            .router
            .route(&ticket, &request.workspace, &status, request.hops);
        match route {
            TicketRoute::OwnWindow | TicketRoute::ImportedWindow => {
                let claim = ClaimTicket {
                    owner: ticket.owner,
                    sequence: ticket.sequence,
                    body: request.body,
                };
                let decision = self.ask(claim).await;
                decision.unwrap_or(fail(ErrorKind::OwnerUnreachable))
            }
            TicketRoute::Forward(owner) | TicketRoute::ForwardToSuccessor(owner) => {
                ClaimDecision::Forward(owner.node, Some(owner.incarnation))
            }
            TicketRoute::Fail(failure) => ClaimDecision::Fail(failure),
        }
    }

    /// Finds out whether the one process that may run a ticket can be reached.
    async fn find_owner(&self, owner: &ProcessId) -> OwnerStatus {
        if *owner == self.own {
            return OwnerStatus::Reachable;
        }
        let owner_key = owner.clone();
        if self.ask(HasImport { owner: owner_key }).await == Some(true) {
            return OwnerStatus::Imported;
        }
        let Some(fleet) = self.fleet.get() else {
            return OwnerStatus::Unreachable;
        };
        if let Some(successor) = fleet.find_successor(owner.clone()).await {
            return OwnerStatus::HandedOver { successor };
        }
        match fleet.find_node(owner.node.clone()).await {
            None => OwnerStatus::Unreachable,
            Some(known) if known.incarnation > owner.incarnation => OwnerStatus::Replaced,
            // News of other domains lag; the node itself tells whether it is a later run.
            Some(_) => OwnerStatus::Reachable,
        }
    }

    async fn decide_key(&self, request: &ClaimRequest) -> ClaimDecision {
        let key = KeyId::new(&request.workspace, &request.key);
        let mut consent = ConsentStatus::NotAsked;
        for _ in 0..CONSENT_ROUNDS {
            let claim = ClaimKey {
                key,
                body: request.body,
                consent: consent.clone(),
            };
            match self.ask(claim).await {
                None => return fail(ErrorKind::Stopping),
                Some(KeyDecision::Decided(decision)) => return decision,
                Some(KeyDecision::Ask(nodes)) => return self.inquire(key, nodes).await,
                Some(KeyDecision::NeedWitness(nodes)) => {
                    match self.find_consent(key, nodes).await {
                        Some(found) => consent = found,
                        None => return fail(ErrorKind::KeyUncertain),
                    }
                }
            }
        }
        fail(ErrorKind::KeyUncertain)
    }

    /// Asks the witnesses one after the other until one answers.
    async fn find_consent(&self, key: KeyId, nodes: Vec<NodeName>) -> Option<ConsentStatus> {
        for node in nodes {
            let home = self.own.clone();
            let ask = PeerBody::Consent(ConsentAsk { key, home });
            match self.peers.ask(&node, ask).await {
                Ok(PeerReply::Consent(ConsentVerdict::Granted)) => {
                    return Some(ConsentStatus::Granted { by: node });
                }
                Ok(PeerReply::Consent(ConsentVerdict::Contested)) => {
                    return Some(ConsentStatus::Contested);
                }
                _ => {}
            }
        }
        None
    }

    /// Asks all nodes at once and stops at the first verdict.
    async fn inquire(&self, key: KeyId, nodes: Vec<NodeName>) -> ClaimDecision {
        let asks: FuturesUnordered<_> = nodes
            .into_iter()
            .map(|node| self.ask_traces(key, node))
            .collect();
        let mut asks = asks;
        while let Some(answer) = asks.next().await {
            let Some(answer) = answer else {
                continue;
            };
            let taken = TakeInquiry {
                key,
                answer: Some(answer),
            };
            if let Some(decision) = self.ask(taken).await.flatten() {
                return decision;
            }
        }
        let last = TakeInquiry { key, answer: None };
        let decision = self.ask(last).await.flatten();
        decision.unwrap_or(fail(ErrorKind::KeyUncertain))
    }

    async fn ask_traces(&self, key: KeyId, node: NodeName) -> Option<(NodeName, InquiryAnswer)> {
        let asker = self.own.clone();
        let ask = PeerBody::Inquiry(InquiryAsk { key, asker });
        match self.peers.ask(&node, ask).await {
            Ok(PeerReply::Inquiry(answer)) => Some((node, answer)),
            _ => None,
        }
    }

    /// Sends a message and waits for the answer; `None` once the node has stopped.
    async fn ask<M>(&self, message: M) -> Option<<ClaimActor as Handler<M>>::Return>
    where
        M: Send + 'static,
        ClaimActor: Handler<M>,
    {
        self.queue.ask(message).await
    }

    fn tell<M>(&self, message: M)
    where
        M: Send + 'static,
        ClaimActor: Handler<M>,
    {
        self.queue.post(message);
    }
}

fn fail(kind: ErrorKind) -> ClaimDecision {
    ClaimDecision::Fail(CallFailure::new(kind))
}
