use std::collections::BTreeMap;

use base::ErrorKind;
use calls::{
    CallFailure, InquiryVerdict, KeyRegistry, KeyVerdict, ProcessId, SigningKey, TicketIssuer,
    TicketVerdict, TicketWindow, WindowExport, WindowImports,
};

use super::claim_message::{ClaimKey, ClaimTicket, FinishClaim, KeyDecision, TakeInquiry};
use super::{ClaimDecision, ClaimId, ClaimSettings, SharedAnswer};
use crate::{EventJournal, SystemClock};

/// Windows of stopped nodes that one process takes over.
const IMPORT_LIMIT: usize = 4_096;

/// Owns the ticket window, the windows taken over and the memory of keys.
#[derive(xtra::Actor)]
pub struct ClaimActor {
    pub(super) clock: SystemClock,
    pub(super) journal: EventJournal,
    pub(super) own: ProcessId,
    pub(super) settings: ClaimSettings,
    pub(super) issuer: TicketIssuer,
    pub(super) window: TicketWindow,
    pub(super) imports: WindowImports,
    /// There is no home before the declared nodes are known.
    pub(super) keys: Option<KeyRegistry>,
    pub(super) answers: BTreeMap<ClaimId, SharedAnswer>,
    pub(super) exports: Vec<WindowExport>,
}

impl ClaimActor {
    /// Creates the actor of one run of a node.
    pub fn new(
        clock: SystemClock,
        journal: EventJournal,
        own: ProcessId,
        key: SigningKey,
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

    pub(super) fn shared(&mut self, id: &ClaimId) -> SharedAnswer {
        self.answers.entry(id.clone()).or_default().clone()
    }

    pub(super) fn window_of(&mut self, owner: &ProcessId) -> Option<&mut TicketWindow> {
        if *owner == self.own {
            return Some(&mut self.window);
        }
        self.imports.get_mut(owner)
    }

    pub(super) fn claim_ticket(&mut self, message: ClaimTicket) -> ClaimDecision {
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
            TicketVerdict::Run => ClaimDecision::Run(id.clone(), self.shared(&id)),
            TicketVerdict::Join => ClaimDecision::Join(self.shared(&id)),
            TicketVerdict::Replay(answer) => ClaimDecision::Replay(answer),
            other => ClaimDecision::Fail(other.failure().unwrap_or(unreachable)),
        }
    }

    pub(super) fn claim_key(&mut self, message: ClaimKey) -> KeyDecision {
        let now = self.clock.now();
        let uncertain = CallFailure::new(ErrorKind::KeyUncertain);
        let Some(keys) = &mut self.keys else {
            return KeyDecision::Decided(ClaimDecision::Fail(uncertain));
        };
        let id = ClaimId::Key(message.key);
        let decided = match keys.claim(now, message.key, message.body, message.consent) {
            KeyVerdict::Run => ClaimDecision::Run(id.clone(), self.shared(&id)),
            KeyVerdict::NeedConsent(nodes) => return KeyDecision::NeedWitness(nodes),
            KeyVerdict::Inquire(nodes) => {
                // Resends that come meanwhile wait for the same answer.
                self.shared(&id);
                return KeyDecision::Ask(nodes);
            }
            KeyVerdict::Join => ClaimDecision::Join(self.shared(&id)),
            KeyVerdict::Replay(answer) => ClaimDecision::Replay(answer),
            KeyVerdict::NotHome(node) => ClaimDecision::Forward(node, None),
            KeyVerdict::HandedOver(owner) => {
                ClaimDecision::Forward(owner.node, Some(owner.incarnation))
            }
            other => ClaimDecision::Fail(other.failure().unwrap_or(uncertain)),
        };
        KeyDecision::Decided(decided)
    }

    pub(super) fn take_inquiry(&mut self, message: TakeInquiry) -> Option<ClaimDecision> {
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
