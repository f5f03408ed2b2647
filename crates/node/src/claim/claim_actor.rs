use std::collections::BTreeMap;

use base::{ErrorKind, EventKind, NodeName, RevisionNumber, TimeSpan, WorkspaceName};
use calls::{
    BodyHash, CallFailure, CallOutcome, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyArrival,
    KeyClaim, KeyHome, KeyId, KeyPolicy, OwnerId, TicketClaim, TicketIssuer, TicketKey, TicketText,
    TicketWindow, WindowExport, WindowImports, WindowLimits,
};
use xtra::{Context, Handler};

use super::{ClaimDecision, ClaimId, SharedAnswer};
use crate::{EventJournal, SystemClock};

/// Windows of stopped nodes that one process takes over.
const IMPORT_LIMIT: usize = 4_096;

/// Bounds of the memory for tickets and keys.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Bounds of the ticket window.
    pub window: WindowLimits,
    /// Bounds of the memory for caller-generated keys.
    pub keys: KeyPolicy,
    /// How long a ticket may be used.
    pub ticket_life: TimeSpan,
}

impl ClaimSettings {
    /// Creates settings that retain `answer_bytes` of answers, half for tickets, half for keys.
    ///
    /// ```
    /// assert_eq!(node::ClaimSettings::new(1_024).window.answer_bytes, 512);
    /// ```
    pub fn new(answer_bytes: usize) -> Self {
        let half = answer_bytes / 2;
        Self {
            window: WindowLimits {
                answer_bytes: half,
                ..WindowLimits::default()
            },
            keys: KeyPolicy {
                answer_bytes: half,
                ..KeyPolicy::default()
            },
            ticket_life: TimeSpan::from_secs(3_600),
        }
    }

    /// Returns these settings with another lifetime of caller-generated keys.
    #[must_use]
    pub fn with_key_lifetime(mut self, lifetime: TimeSpan) -> Self {
        self.keys.lifetime = lifetime;
        self
    }
}

/// Owns the ticket window, the windows taken over and the memory of keys.
#[derive(xtra::Actor)]
pub struct ClaimActor {
    clock: SystemClock,
    journal: EventJournal,
    own: OwnerId,
    settings: ClaimSettings,
    issuer: TicketIssuer,
    window: TicketWindow,
    imports: WindowImports,
    /// There is no home before the declared nodes are known.
    keys: Option<KeyHome>,
    answers: BTreeMap<ClaimId, SharedAnswer>,
    exports: Vec<WindowExport>,
}

/// Issues a ticket.
pub struct IssueTicket {
    pub workspace: WorkspaceName,
}
/// Claims a ticket of this or of an imported window.
pub struct ClaimTicket {
    pub owner: OwnerId,
    pub sequence: u64,
    pub body: BodyHash,
}
/// Tells whether the window of `owner` was taken over by this process.
pub struct HasImport {
    pub owner: OwnerId,
}
/// Claims a key that the caller generated.
pub struct ClaimKey {
    pub key: KeyId,
    pub body: BodyHash,
    pub arrival: KeyArrival,
}
/// Takes an answer to an inquiry, or its end.
pub struct TakeInquiry {
    pub key: KeyId,
    pub answer: Option<(NodeName, InquiryAnswer)>,
}
/// What became of a claim of a key.
pub enum KeyDecision {
    /// The claim is decided.
    Decided(ClaimDecision),
    /// A witness must be asked.
    NeedWitness(Vec<NodeName>),
    /// These nodes must be asked.
    Ask(Vec<NodeName>),
}
/// Asks this process for its consent as a witness.
pub struct GiveConsent {
    pub key: KeyId,
    pub home: OwnerId,
}
/// Asks this process for traces of a key.
pub struct GiveTraces {
    pub key: KeyId,
    pub asker: OwnerId,
}
/// Records the end of a run.
pub struct FinishClaim {
    pub id: ClaimId,
    pub outcome: CallOutcome,
}
/// Takes the declared nodes of a revision.
pub struct SetNodes {
    pub revision: RevisionNumber,
    pub names: Vec<NodeName>,
}
/// Notes that a peer acts on a revision.
pub struct PeerRevision {
    pub node: NodeName,
    pub revision: RevisionNumber,
}
/// Notes that the VM of a node is gone for good.
pub struct NodeGone {
    pub node: NodeName,
}
/// Takes a window over.
pub struct ImportWindow {
    pub export: WindowExport,
}
/// Seals all windows and tells how many runs are in flight.
pub struct SealWindows;
/// Exports all windows for a successor; the same exports are returned again.
pub struct ExportWindows {
    pub successor: OwnerId,
}

impl ClaimActor {
    /// Creates the actor of one run of a node.
    pub fn new(
        clock: SystemClock,
        journal: EventJournal,
        own: OwnerId,
        key: TicketKey,
        settings: ClaimSettings,
    ) -> Self {
        Self {
            issuer: TicketIssuer::new(key, settings.ticket_life),
            window: TicketWindow::new(own.clone(), settings.window),
            imports: WindowImports::new(own.clone(), settings.window, IMPORT_LIMIT),
            keys: None,
            answers: BTreeMap::new(),
            exports: Vec::new(),
            clock,
            journal,
            own,
            settings,
        }
    }

    fn shared(&mut self, id: &ClaimId) -> SharedAnswer {
        self.answers.entry(id.clone()).or_default().clone()
    }

    fn window_of(&mut self, owner: &OwnerId) -> Option<&mut TicketWindow> {
        if *owner == self.own {
            return Some(&mut self.window);
        }
        self.imports.get_mut(owner)
    }

    fn claim_ticket(&mut self, message: ClaimTicket) -> ClaimDecision {
        let now = self.clock.now();
        let ClaimTicket {
            owner,
            sequence,
            body,
        } = message;
        let unreachable = CallFailure::new(ErrorKind::OwnerUnreachable);
        let Some(window) = self.window_of(&owner) else {
            return ClaimDecision::Fail(unreachable);
        };
        let claim = window.claim(now, sequence, body);
        let id = ClaimId::Ticket(owner, sequence);
        match claim {
            TicketClaim::Run => ClaimDecision::Run(id.clone(), self.shared(&id)),
            TicketClaim::Join => ClaimDecision::Join(self.shared(&id)),
            TicketClaim::Replay(answer) => ClaimDecision::Replay(answer),
            other => ClaimDecision::Fail(other.failure().unwrap_or(unreachable)),
        }
    }

    fn claim_key(&mut self, message: ClaimKey) -> KeyDecision {
        let now = self.clock.now();
        let uncertain = CallFailure::new(ErrorKind::KeyUncertain);
        let Some(keys) = &mut self.keys else {
            return KeyDecision::Decided(ClaimDecision::Fail(uncertain));
        };
        let id = ClaimId::Key(message.key);
        let decided = match keys.claim(now, message.key, message.body, message.arrival) {
            KeyClaim::Run => ClaimDecision::Run(id.clone(), self.shared(&id)),
            KeyClaim::NeedWitness(nodes) => return KeyDecision::NeedWitness(nodes),
            KeyClaim::Ask(nodes) => {
                // Resends that come meanwhile wait for the same answer.
                self.shared(&id);
                return KeyDecision::Ask(nodes);
            }
            KeyClaim::Join => ClaimDecision::Join(self.shared(&id)),
            KeyClaim::Replay(answer) => ClaimDecision::Replay(answer),
            KeyClaim::NotHome(node) => ClaimDecision::Forward(node, None),
            KeyClaim::Given(owner) => ClaimDecision::Forward(owner.node, Some(owner.incarnation)),
            other => ClaimDecision::Fail(other.failure().unwrap_or(uncertain)),
        };
        KeyDecision::Decided(decided)
    }

    fn take_inquiry(&mut self, message: TakeInquiry) -> Option<ClaimDecision> {
        let keys = self.keys.as_mut()?;
        let verdict = match message.answer {
            Some((from, answer)) => keys.on_answer(message.key, &from, answer),
            None => keys.on_inquiry_timeout(message.key),
        };
        let id = ClaimId::Key(message.key);
        match verdict {
            InquiryVerdict::Waiting => None,
            InquiryVerdict::Run => Some(ClaimDecision::Run(id.clone(), self.shared(&id))),
            InquiryVerdict::Uncertain => {
                let failure = CallFailure::new(ErrorKind::KeyUncertain);
                if let Some(answer) = self.answers.remove(&id) {
                    answer.fail(failure);
                }
                Some(ClaimDecision::Fail(failure))
            }
        }
    }

    fn finish(&mut self, message: FinishClaim) {
        self.answers.remove(&message.id);
        match message.id {
            ClaimId::Ticket(owner, sequence) => {
                if let Some(window) = self.window_of(&owner) {
                    window.finish(sequence, message.outcome);
                }
            }
            ClaimId::Key(key) => {
                if let Some(keys) = &mut self.keys {
                    keys.finish(key, message.outcome);
                }
            }
        }
    }
}

impl Handler<IssueTicket> for ClaimActor {
    type Return = Option<TicketText>;

    async fn handle(&mut self, message: IssueTicket, _: &mut Context<Self>) -> Option<TicketText> {
        let now = self.clock.now();
        self.issuer.issue(&mut self.window, now, &message.workspace)
    }
}

impl Handler<ClaimTicket> for ClaimActor {
    type Return = ClaimDecision;

    async fn handle(&mut self, message: ClaimTicket, _: &mut Context<Self>) -> ClaimDecision {
        self.claim_ticket(message)
    }
}

impl Handler<HasImport> for ClaimActor {
    type Return = bool;

    async fn handle(&mut self, message: HasImport, _: &mut Context<Self>) -> bool {
        self.imports.get_mut(&message.owner).is_some()
    }
}

impl Handler<ClaimKey> for ClaimActor {
    type Return = KeyDecision;

    async fn handle(&mut self, message: ClaimKey, _: &mut Context<Self>) -> KeyDecision {
        self.claim_key(message)
    }
}

impl Handler<TakeInquiry> for ClaimActor {
    type Return = Option<ClaimDecision>;

    async fn handle(
        &mut self,
        message: TakeInquiry,
        _: &mut Context<Self>,
    ) -> Option<ClaimDecision> {
        self.take_inquiry(message)
    }
}

impl Handler<GiveConsent> for ClaimActor {
    type Return = ConsentVerdict;

    async fn handle(&mut self, message: GiveConsent, _: &mut Context<Self>) -> ConsentVerdict {
        let now = self.clock.now();
        match &mut self.keys {
            Some(keys) => keys.consent(now, message.key, &message.home),
            None => ConsentVerdict::NotWitness,
        }
    }
}

impl Handler<GiveTraces> for ClaimActor {
    type Return = Option<InquiryAnswer>;

    async fn handle(
        &mut self,
        message: GiveTraces,
        _: &mut Context<Self>,
    ) -> Option<InquiryAnswer> {
        let now = self.clock.now();
        let keys = self.keys.as_mut()?;
        Some(keys.on_inquiry(now, message.key, &message.asker))
    }
}

impl Handler<FinishClaim> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: FinishClaim, _: &mut Context<Self>) {
        self.finish(message);
    }
}

impl Handler<SetNodes> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: SetNodes, _: &mut Context<Self>) {
        let now = self.clock.now();
        match &mut self.keys {
            Some(keys) => keys.on_revision(now, message.revision, message.names),
            None => {
                let (own, policy) = (self.own.clone(), self.settings.keys);
                let (revision, names) = (message.revision, message.names);
                self.keys = Some(KeyHome::new(own, now, revision, names, policy));
            }
        }
    }
}

impl Handler<PeerRevision> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: PeerRevision, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(keys) = &mut self.keys {
            keys.on_peer_revision(now, &message.node, message.revision);
        }
    }
}

impl Handler<NodeGone> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: NodeGone, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(keys) = &mut self.keys {
            keys.on_node_gone(now, &message.node);
        }
    }
}

impl Handler<ImportWindow> for ClaimActor {
    type Return = bool;

    async fn handle(&mut self, message: ImportWindow, _: &mut Context<Self>) -> bool {
        let now = self.clock.now();
        let owner = message.export.owner.clone();
        match self.imports.import(now, message.export) {
            Ok(()) => {
                self.journal
                    .note(EventKind::WindowTakenOver, owner.to_string());
                true
            }
            // A repeated export of a window that is here was answered by a lost reply.
            Err(calls::ImportError::AlreadyImported { .. }) => true,
            Err(error) => {
                self.journal
                    .note(EventKind::WindowRefused, error.to_string());
                false
            }
        }
    }
}

impl Handler<SealWindows> for ClaimActor {
    type Return = usize;

    async fn handle(&mut self, _: SealWindows, _: &mut Context<Self>) -> usize {
        self.window.seal();
        if let Some(keys) = &mut self.keys {
            keys.seal();
        }
        let mut running = self.window.in_flight();
        for window in self.imports.iter_mut() {
            window.seal();
            running += window.in_flight();
        }
        running
    }
}

impl Handler<ExportWindows> for ClaimActor {
    type Return = Vec<WindowExport>;

    async fn handle(&mut self, message: ExportWindows, _: &mut Context<Self>) -> Vec<WindowExport> {
        let now = self.clock.now();
        let own = std::iter::once(&mut self.window);
        let windows = own.chain(self.imports.iter_mut());
        let fresh = windows.filter_map(|window| window.export(now, message.successor.clone()));
        self.exports.extend(fresh);
        let mut exports = self.exports.clone();
        exports.retain(|export| export.successor == message.successor);
        exports
    }
}
