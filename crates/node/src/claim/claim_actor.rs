use std::collections::BTreeMap;

use base::ErrorKind;
use calls::{
    CallFailure, InquiryVerdict, KeyRegistry, KeyVerdict, ProcessId, SigningKey, TicketIssuer,
    TicketVerdict, TicketWindow, WindowExport, WindowImports,
};

use super::claim_message::{ClaimKey, ClaimTicket, FinishClaim, KeyDecision, RecordInquiry};
use super::{ClaimDecision, ClaimId, ClaimSettings, SharedAnswer};
use crate::{EventJournal, SystemClock};

/// Maximum number of ticket windows of stopped nodes that one process imports.
const IMPORT_LIMIT: usize = 4_096;

/// Actor that owns the idempotency state of a node: its own ticket window, the ticket windows
/// imported from stopped nodes, the registry of caller-generated keys, and the answers in flight.
#[derive(xtra::Actor)]
pub struct ClaimActor {
    pub(super) clock: SystemClock,
    pub(super) journal: EventJournal,
    pub(super) local: ProcessId,
    pub(super) settings: ClaimSettings,
    pub(super) issuer: TicketIssuer,
    pub(super) window: TicketWindow,
    pub(super) imports: WindowImports,
    /// `None` until the declared nodes are known, as they determine the home of a key.
    pub(super) keys: Option<KeyRegistry>,
    /// Answers of the claims in flight, read by resends of the same request.
    pub(super) answers: BTreeMap<ClaimId, SharedAnswer>,
    /// Windows exported so far, kept to return them again if the export is repeated.
    pub(super) exports: Vec<WindowExport>,
}

impl ClaimActor {
    /// Creates the actor of the node process `local`.
    pub fn new(
        clock: SystemClock,
        journal: EventJournal,
        local: ProcessId,
        key: SigningKey,
        settings: ClaimSettings,
    ) -> Self {
        Self {
            issuer: TicketIssuer::new(key, settings.ticket_life),
            window: TicketWindow::new(local.clone(), settings.window),
            imports: WindowImports::new(local.clone(), settings.window, IMPORT_LIMIT),
            keys: None,
            answers: BTreeMap::new(),
            exports: Vec::new(),
            clock,
            journal,
            local,
            settings,
        }
    }

    /// The answer of the claim `id`, created if there is none.
    pub(super) fn shared_answer(&mut self, id: &ClaimId) -> SharedAnswer {
        self.answers.entry(id.clone()).or_default().clone()
    }

    /// The ticket window that `owner` issued, if this process has it.
    pub(super) fn window_of(&mut self, owner: &ProcessId) -> Option<&mut TicketWindow> {
        if *owner == self.local {
            return Some(&mut self.window);
        }
        self.imports.get_mut(owner)
    }

    /// Decides on a request that carries a ticket.
    pub(super) fn claim_ticket(&mut self, message: ClaimTicket) -> ClaimDecision {
        let now = self.clock.now();
        let ClaimTicket {
            owner,
            sequence,
            request_hash,
        } = message;
        let unreachable = CallFailure::new(ErrorKind::OwnerUnreachable);
        let Some(window) = self.window_of(&owner) else {
            return ClaimDecision::Fail(unreachable);
        };
        let claim = window.claim(now, sequence, request_hash);
        let id = ClaimId::Ticket(owner, sequence);
        match claim {
            TicketVerdict::Run => ClaimDecision::Run(id.clone(), self.shared_answer(&id)),
            TicketVerdict::Join => ClaimDecision::Join(self.shared_answer(&id)),
            TicketVerdict::Replay(answer) => ClaimDecision::Replay(answer),
            other => ClaimDecision::Fail(other.failure().unwrap_or(unreachable)),
        }
    }

    /// Decides on a request that carries a caller-generated key.
    pub(super) fn claim_key(&mut self, message: ClaimKey) -> KeyDecision {
        let now = self.clock.now();
        let uncertain = CallFailure::new(ErrorKind::KeyUncertain);
        let Some(keys) = &mut self.keys else {
            return KeyDecision::Decided(ClaimDecision::Fail(uncertain));
        };
        let id = ClaimId::Key(message.key);
        let decided = match keys.claim(now, message.key, message.request_hash, message.consent) {
            KeyVerdict::Run => ClaimDecision::Run(id.clone(), self.shared_answer(&id)),
            KeyVerdict::NeedConsent(nodes) => return KeyDecision::NeedConsent(nodes),
            KeyVerdict::Inquire(nodes) => {
                // Resends that arrive during the inquiry wait for the same answer.
                self.shared_answer(&id);
                return KeyDecision::NeedInquiry(nodes);
            }
            KeyVerdict::Join => ClaimDecision::Join(self.shared_answer(&id)),
            KeyVerdict::Replay(answer) => ClaimDecision::Replay(answer),
            KeyVerdict::NotHome(node) => ClaimDecision::Forward(node, None),
            KeyVerdict::HandedOver(owner) => {
                ClaimDecision::Forward(owner.node, Some(owner.incarnation))
            }
            other => ClaimDecision::Fail(other.failure().unwrap_or(uncertain)),
        };
        KeyDecision::Decided(decided)
    }

    /// Records one node's response to an inquiry, or that no more will come; returns the decision
    /// once there is one.
    pub(super) fn record_inquiry(&mut self, message: RecordInquiry) -> Option<ClaimDecision> {
        let keys = self.keys.as_mut()?;
        let verdict = match message.response {
            Some((from, response)) => keys.on_answer(message.key, &from, response),
            None => keys.on_inquiry_timeout(message.key),
        };
        let id = ClaimId::Key(message.key);
        match verdict {
            InquiryVerdict::Waiting => None,
            InquiryVerdict::Run => Some(ClaimDecision::Run(id.clone(), self.shared_answer(&id))),
            InquiryVerdict::Uncertain => {
                let failure = CallFailure::new(ErrorKind::KeyUncertain);
                if let Some(answer) = self.answers.remove(&id) {
                    answer.fail(failure);
                }
                Some(ClaimDecision::Fail(failure))
            }
        }
    }

    /// Records the outcome of a request that was claimed to run.
    pub(super) fn finish(&mut self, message: FinishClaim) {
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
