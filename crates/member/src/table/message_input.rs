use base::{ClockTime, NodeName};
use schema::member::{MemberMessage, MessageBody, MessageHeader, NodeRecord, NodeState, RumorList};

use super::{MemberAction, MemberTable, ViewState};

impl MemberTable {
    /// Handles a message whose sender the peer key authenticated; messages of unknown nodes are
    /// ignored.
    pub fn on_message(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        message: MemberMessage,
        actions: &mut Vec<MemberAction>,
    ) {
        let MemberMessage {
            header,
            body,
            rumors,
        } = message;
        if *from == self.settings.node {
            return;
        }
        let Some(entry) = self.view.node_mut(from) else {
            return;
        };
        if header.incarnation < entry.record.incarnation {
            let record = entry.record.clone();
            return self.send_node_record(from, record, actions);
        }
        entry.last_heard = Some(now);
        entry.reported_view_digest = header.view_digest;
        self.apply_rumors(now, &rumors, actions);
        self.apply_sender(now, from, &header, actions);
        self.clear_suspicion(from);
        self.compare_revision(from, &header, actions);
        let answers_probe = self.handle_body(now, from, body, actions);
        self.compare_view(now, from, &header, answers_probe, actions);
    }

    /// Handles the body; returns whether it answers a probe that was sent since the last pause.
    fn handle_body(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        body: MessageBody,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        match body {
            MessageBody::Probe(probe) => self.send(from, MessageBody::Ack(probe), actions),
            MessageBody::Ack(ack) => return self.handle_ack(from, ack.sequence, actions),
            MessageBody::Relay(relay) => self.handle_relay(now, from, &relay, actions),
            MessageBody::Relayed(result) => self.handle_relayed(&result, actions),
            MessageBody::SyncStart(start) => self.handle_sync_start(now, from, &start, actions),
            MessageBody::SyncOffer(offer) => self.handle_sync_offer(now, from, &offer, actions),
            MessageBody::SyncRecords(records) => {
                self.handle_sync_records(now, from, &records, actions)
            }
            MessageBody::Gossip => {}
        }
        false
    }

    fn apply_rumors(
        &mut self,
        now: ClockTime,
        rumors: &RumorList,
        actions: &mut Vec<MemberAction>,
    ) {
        for record in &rumors.nodes {
            self.apply_node(now, record, true, actions);
        }
        for record in &rumors.targets {
            self.apply_target(now, record, true, actions);
        }
        for record in &rumors.domains {
            self.apply_domain(now, record, actions);
        }
        for record in &rumors.payloads {
            self.apply_payload(record, actions);
        }
    }

    /// Records the sender's run as alive, even if no rumour in the message mentions it.
    fn apply_sender(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        header: &MessageHeader,
        actions: &mut Vec<MemberAction>,
    ) {
        let record = NodeRecord {
            node: from.clone(),
            incarnation: header.incarnation,
            version: 0,
            state: NodeState::Alive,
        };
        self.apply_node(now, &record, true, actions);
        if let Some(entry) = self.view.node_mut(from) {
            entry.state_observed = true;
        }
    }

    /// Reports a declaration of the sender that this node does not have.
    fn compare_revision(
        &mut self,
        from: &NodeName,
        header: &MessageHeader,
        actions: &mut Vec<MemberAction>,
    ) {
        let reported = (header.revision, header.revision_digest);
        let differs = header.revision == self.revision && reported.1 != self.revision_digest;
        if header.revision > self.revision || differs {
            actions.push(MemberAction::RevisionMissing {
                from: from.clone(),
                revision: reported.0,
                digest: reported.1,
            });
        }
    }

    /// Compares the sender's digest with this node's. Equal digests confirm the view; for different
    /// ones a sync starts once rumours are unlikely to resolve the difference.
    ///
    /// While the view is unconfirmed, only a message that answers a probe counts (`answers_probe`):
    /// others may have been waiting while this node was paused.
    fn compare_view(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        header: &MessageHeader,
        answers_probe: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let confirmed = self.view_state == ViewState::Confirmed;
        let local = self.view.domain_of(from) == Some(&self.settings.domain);
        if !local || !confirmed && !answers_probe {
            return;
        }
        if header.view_digest == self.view.digest() {
            self.mismatch_since = None;
            return self.set_view_state(ViewState::Confirmed, actions);
        }
        let since = *self.mismatch_since.get_or_insert(now);
        if confirmed && !self.is_sync_due(now, since) {
            return;
        }
        self.start_sync(now, from, actions);
    }
}
