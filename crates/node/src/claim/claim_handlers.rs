use base::EventKind;
use calls::{ConsentVerdict, InquiryAnswer, KeyRegistry, SignedTicket, WindowExport};
use xtra::{Context, Handler};

use super::ClaimDecision;
use super::claim_actor::ClaimActor;
use super::claim_message::{
    AnswerConsent, AnswerInquiry, ClaimKey, ClaimTicket, ExportWindows, FinishClaim, HasImport,
    ImportWindow, IssueTicket, KeyDecision, RecordInquiry, RecordNodeDeleted, RecordPeerRevision,
    SealClaims, SetDeclaredNodes,
};

impl Handler<IssueTicket> for ClaimActor {
    type Return = Option<SignedTicket>;

    async fn handle(
        &mut self,
        message: IssueTicket,
        _: &mut Context<Self>,
    ) -> Option<SignedTicket> {
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

impl Handler<RecordInquiry> for ClaimActor {
    type Return = Option<ClaimDecision>;

    async fn handle(
        &mut self,
        message: RecordInquiry,
        _: &mut Context<Self>,
    ) -> Option<ClaimDecision> {
        self.record_inquiry(message)
    }
}

impl Handler<AnswerConsent> for ClaimActor {
    type Return = ConsentVerdict;

    async fn handle(&mut self, message: AnswerConsent, _: &mut Context<Self>) -> ConsentVerdict {
        let now = self.clock.now();
        match &mut self.keys {
            Some(keys) => keys.consent(now, message.key, &message.home),
            None => ConsentVerdict::NotWitness,
        }
    }
}

impl Handler<AnswerInquiry> for ClaimActor {
    type Return = Option<InquiryAnswer>;

    async fn handle(
        &mut self,
        message: AnswerInquiry,
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

impl Handler<SetDeclaredNodes> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: SetDeclaredNodes, _: &mut Context<Self>) {
        let now = self.clock.now();
        match &mut self.keys {
            Some(keys) => keys.on_revision(now, message.revision, message.names),
            None => {
                let (local, policy) = (self.local.clone(), self.settings.keys);
                let (revision, names) = (message.revision, message.names);
                self.keys = Some(KeyRegistry::new(local, now, revision, names, policy));
            }
        }
    }
}

impl Handler<RecordPeerRevision> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: RecordPeerRevision, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(keys) = &mut self.keys {
            keys.on_peer_revision(now, &message.node, message.revision);
        }
    }
}

impl Handler<RecordNodeDeleted> for ClaimActor {
    type Return = ();

    async fn handle(&mut self, message: RecordNodeDeleted, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(keys) = &mut self.keys {
            keys.on_node_deleted(now, &message.node);
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
                    .record(EventKind::WindowTakenOver, owner.to_string());
                true
            }
            // The response to the first copy was lost, so the sender repeated the export.
            Err(calls::ImportError::AlreadyImported { .. }) => true,
            Err(error) => {
                self.journal
                    .record(EventKind::WindowRefused, error.to_string());
                false
            }
        }
    }
}

impl Handler<SealClaims> for ClaimActor {
    type Return = usize;

    async fn handle(&mut self, _: SealClaims, _: &mut Context<Self>) -> usize {
        self.window.seal();
        if let Some(keys) = &mut self.keys {
            keys.seal();
        }
        let mut in_flight = self.window.in_flight();
        for window in self.imports.iter_mut() {
            window.seal();
            in_flight += window.in_flight();
        }
        in_flight
    }
}

impl Handler<ExportWindows> for ClaimActor {
    type Return = Vec<WindowExport>;

    async fn handle(&mut self, message: ExportWindows, _: &mut Context<Self>) -> Vec<WindowExport> {
        let now = self.clock.now();
        let own = std::iter::once(&mut self.window);
        let windows = own.chain(self.imports.iter_mut());
        let new_exports =
            windows.filter_map(|window| window.export(now, message.successor.clone()));
        self.exports.extend(new_exports);
        let mut exports = self.exports.clone();
        exports.retain(|export| export.successor == message.successor);
        exports
    }
}
