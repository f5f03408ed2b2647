use base::{ClockTime, NodeName};
use schema::member::{MemberMessage, MessageBody, MessageHeader, NodeRecord, NodeState, RumorList};

use super::{MemberAction, MemberTable, ViewState};

impl MemberTable {
    /// Takes a message that the peer key authenticated; one of an unknown node is ignored.
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
            return self.send_record(from, record, actions);
        }
        entry.heard = Some(now);
        entry.digest = header.view_digest;
        self.take_rumors(now, &rumors, actions);
        self.take_sender(now, from, &header, actions);
        self.clear_suspicion(from);
        self.compare_revision(from, &header, actions);
        let fresh = self.take_body(now, from, body, actions);
        self.compare_view(now, from, &header, fresh, actions);
    }

    /// Returns whether the message answers a probe that was sent since the last pause.
    fn take_body(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        body: MessageBody,
        actions: &mut Vec<MemberAction>,
    ) -> bool {
        match body {
            MessageBody::Probe(probe) => self.send(from, MessageBody::Ack(probe), actions),
            MessageBody::Ack(ack) => return self.take_ack(from, ack.sequence, actions),
            MessageBody::Relay(relay) => self.relay_probe(now, from, &relay, actions),
            MessageBody::Relayed(result) => self.take_result(&result, actions),
            MessageBody::SyncStart(start) => self.answer_sync(now, from, &start, actions),
            MessageBody::SyncOffer(offer) => self.take_offer(now, from, &offer, actions),
            MessageBody::SyncRecords(records) => self.take_records(now, from, &records, actions),
            MessageBody::Gossip => {}
        }
        false
    }

    fn take_rumors(&mut self, now: ClockTime, rumors: &RumorList, actions: &mut Vec<MemberAction>) {
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

    /// Learns of a run from its first message, whatever else that message says.
    fn take_sender(
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
            entry.judged = true;
        }
    }

    fn compare_revision(
        &mut self,
        from: &NodeName,
        header: &MessageHeader,
        actions: &mut Vec<MemberAction>,
    ) {
        let other = (header.revision, header.revision_digest);
        let differs = header.revision == self.revision && other.1 != self.revision_digest;
        if header.revision > self.revision || differs {
            actions.push(MemberAction::RevisionSeen {
                from: from.clone(),
                revision: other.0,
                digest: other.1,
            });
        }
    }

    /// Starts a comparison if the views differ and no rumour is likely to level them soon.
    ///
    /// Only a `fresh` message confirms the view: others may have waited while this node was paused.
    fn compare_view(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        header: &MessageHeader,
        fresh: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let confirmed = self.view_state == ViewState::Confirmed;
        let local = self.view.place(from) == Some(&self.settings.domain);
        if !local || !confirmed && !fresh {
            return;
        }
        if header.view_digest == self.view.digest() {
            self.mismatch_since = None;
            return self.set_view_state(ViewState::Confirmed, actions);
        }
        let since = *self.mismatch_since.get_or_insert(now);
        if confirmed && !self.is_settled(now, since) {
            return;
        }
        self.start_sync(now, from, actions);
    }
}
