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
    AnswerConsent, AnswerInquiry, ClaimKey, ClaimTicket, ExportWindows, FinishClaim, HasImport,
    ImportWindow, IssueTicket, KeyDecision, RecordInquiry, RecordNodeDeleted, RecordPeerRevision,
    SealClaims, SetDeclaredNodes,
};
use super::{ClaimDecision, ClaimId, ClaimRequest};
use crate::actor::{ActorQueue, FleetHandle};
use crate::{ConsentRequest, InquiryRequest, PeerClient, PeerMessage, PeerResponse};

/// Maximum number of times to ask the witnesses of a key; they may change in between.
const CONSENT_ROUNDS: usize = 3;

/// Handle of the claim actor, which also sends the requests to other nodes that a decision needs;
/// clones share one actor.
#[derive(Clone)]
pub struct ClaimHandle {
    queue: ActorQueue<ClaimActor>,
    local: ProcessId,
    router: TicketRouter,
    peers: PeerClient,
    /// Set after the fleet actor was started, because that actor needs this handle itself.
    fleet: Arc<OnceLock<FleetHandle>>,
}

impl ClaimHandle {
    /// Creates the handle of the actor at `address`.
    pub fn new(
        address: Address<ClaimActor>,
        local: ProcessId,
        key: SigningKey,
        peers: PeerClient,
    ) -> Self {
        let router = TicketRouter::new(local.clone(), key);
        Self {
            queue: ActorQueue::new(address),
            local,
            router,
            peers,
            fleet: Arc::default(),
        }
    }

    /// Sets the handle of the fleet actor; later calls have no effect.
    pub fn set_fleet(&self, fleet: FleetHandle) {
        // Called once, when the node starts.
        let _ = self.fleet.set(fleet);
    }

    /// Issues a ticket; `None` if the window is full or sealed.
    pub async fn issue(&self, workspace: WorkspaceName) -> Option<SignedTicket> {
        self.ask(IssueTicket { workspace }).await.flatten()
    }

    /// Decides what to do with a request that arrived with an `Idempotency-Key`.
    pub async fn decide(&self, request: &ClaimRequest) -> ClaimDecision {
        match request.key.parse::<SignedTicket>() {
            Ok(ticket) => self.decide_ticket(request, ticket).await,
            Err(_) => self.decide_key(request).await,
        }
    }

    /// Records the outcome of a request that was claimed to run.
    pub fn finish(&self, id: ClaimId, outcome: CallOutcome) {
        self.tell(FinishClaim { id, outcome });
    }

    /// Applies the declared nodes of a revision.
    pub fn set_declared_nodes(&self, revision: RevisionNumber, names: Vec<NodeName>) {
        self.tell(SetDeclaredNodes { revision, names });
    }

    /// Records that a peer has a revision in effect.
    pub fn record_peer_revision(&self, node: NodeName, revision: RevisionNumber) {
        self.tell(RecordPeerRevision { node, revision });
    }

    /// Records that the platform deleted the VM of a node.
    pub fn record_node_deleted(&self, node: NodeName) {
        self.tell(RecordNodeDeleted { node });
    }

    /// As witness of `key`: decides whether to consent that `home` runs it.
    pub async fn answer_consent(&self, key: KeyId, home: ProcessId) -> ConsentVerdict {
        let given = self.ask(AnswerConsent { key, home }).await;
        given.unwrap_or(ConsentVerdict::NotWitness)
    }

    /// Answers whether `key` was used through this node; `None` before the declared nodes are
    /// known.
    pub async fn answer_inquiry(&self, key: KeyId, asker: ProcessId) -> Option<InquiryAnswer> {
        self.ask(AnswerInquiry { key, asker }).await.flatten()
    }

    /// Imports the ticket window of a stopping node; returns whether this process has it now.
    pub async fn import_window(&self, export: WindowExport) -> bool {
        self.ask(ImportWindow { export }).await.unwrap_or(false)
    }

    /// Refuses to run further tickets and keys; returns the number of tickets in flight.
    pub async fn seal(&self) -> usize {
        self.ask(SealClaims).await.unwrap_or(0)
    }

    /// Exports all sealed ticket windows for `successor`.
    pub async fn export_windows(&self, successor: ProcessId) -> Vec<WindowExport> {
        self.ask(ExportWindows { successor })
            .await
            .unwrap_or_default()
    }

    async fn decide_ticket(&self, request: &ClaimRequest, ticket: SignedTicket) -> ClaimDecision {
        let status = self.owner_status(&ticket.owner).await;
        let route = self
            .router
            .route(&ticket, &request.workspace, &status, request.hops);
        match route {
            TicketRoute::OwnWindow | TicketRoute::ImportedWindow => {
                let claim = ClaimTicket {
                    owner: ticket.owner,
                    sequence: ticket.sequence,
                    request_hash: request.request_hash,
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

    /// What this node knows of the process that issued a ticket.
    async fn owner_status(&self, owner: &ProcessId) -> OwnerStatus {
        if *owner == self.local {
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
            // The view of other domains lags, so the owner may have been replaced. The receiving
            // node refuses calls that are meant for another incarnation.
            Some(_) => OwnerStatus::Reachable,
        }
    }

    async fn decide_key(&self, request: &ClaimRequest) -> ClaimDecision {
        let key = KeyId::new(&request.workspace, &request.key);
        let mut consent = ConsentStatus::NotAsked;
        for _ in 0..CONSENT_ROUNDS {
            let claim = ClaimKey {
                key,
                request_hash: request.request_hash,
                consent: consent.clone(),
            };
            match self.ask(claim).await {
                None => return fail(ErrorKind::Stopping),
                Some(KeyDecision::Decided(decision)) => return decision,
                Some(KeyDecision::NeedInquiry(nodes)) => return self.inquire(key, nodes).await,
                Some(KeyDecision::NeedConsent(nodes)) => {
                    match self.ask_witnesses(key, nodes).await {
                        Some(found) => consent = found,
                        None => return fail(ErrorKind::KeyUncertain),
                    }
                }
            }
        }
        fail(ErrorKind::KeyUncertain)
    }

    /// Asks the witnesses one after the other until one grants or contests; `None` if none does.
    async fn ask_witnesses(&self, key: KeyId, nodes: Vec<NodeName>) -> Option<ConsentStatus> {
        for node in nodes {
            let home = self.local.clone();
            let request = PeerMessage::Consent(ConsentRequest { key, home });
            match self.peers.ask(&node, request).await {
                Ok(PeerResponse::Consent(ConsentVerdict::Granted)) => {
                    return Some(ConsentStatus::Granted { by: node });
                }
                Ok(PeerResponse::Consent(ConsentVerdict::Contested)) => {
                    return Some(ConsentStatus::Contested);
                }
                _ => {}
            }
        }
        None
    }

    /// Asks all nodes at once about earlier use of `key`, and returns as soon as the responses
    /// allow a decision.
    async fn inquire(&self, key: KeyId, nodes: Vec<NodeName>) -> ClaimDecision {
        let asks: FuturesUnordered<_> = nodes
            .into_iter()
            .map(|node| self.ask_prior_use(key, node))
            .collect();
        let mut asks = asks;
        while let Some(response) = asks.next().await {
            let Some(response) = response else {
                continue;
            };
            let record = RecordInquiry {
                key,
                response: Some(response),
            };
            if let Some(decision) = self.ask(record).await.flatten() {
                return decision;
            }
        }
        let last = RecordInquiry {
            key,
            response: None,
        };
        let decision = self.ask(last).await.flatten();
        decision.unwrap_or(fail(ErrorKind::KeyUncertain))
    }

    /// Asks one node about earlier use of `key`; `None` if it does not answer.
    async fn ask_prior_use(&self, key: KeyId, node: NodeName) -> Option<(NodeName, InquiryAnswer)> {
        let asker = self.local.clone();
        let request = PeerMessage::Inquiry(InquiryRequest { key, asker });
        match self.peers.ask(&node, request).await {
            Ok(PeerResponse::Inquiry(response)) => Some((node, response)),
            _ => None,
        }
    }

    /// Sends a message to the actor and waits for its reply; `None` once the node has stopped.
    async fn ask<M>(&self, message: M) -> Option<<ClaimActor as Handler<M>>::Return>
    where
        M: Send + 'static,
        ClaimActor: Handler<M>,
    {
        self.queue.ask(message).await
    }

    /// Sends a message to the actor without waiting.
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
