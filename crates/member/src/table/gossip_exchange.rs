use base::{ClockTime, NodeName};
use rand::seq::IndexedRandom;
use schema::member::{
    MemberMessage, MessageBody, MessageHeader, NodeRecord, NodeState, PayloadRecord, RumorList,
};

use super::{MemberAction, MemberTable};
use crate::gossip::RumorKey;
use crate::view::{LinkState, SyncScope};

/// Largest size of a payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 512;

/// Payloads that are held, one for each node and kind.
const MAX_STORED_PAYLOADS: usize = 256;

/// Most payloads in one message.
const PAYLOADS_PER_MESSAGE: usize = 2;

/// Number of messages that carry one rumour, as a multiple of the binary logarithm of the domain's
/// size.
const RUMOR_SEND_FACTOR: u32 = 3;

impl MemberTable {
    /// Spreads opaque data to the nodes of the own domain; it replaces this node's previous payload
    /// of the same kind.
    ///
    /// Returns false if the payload is larger than [`MAX_PAYLOAD_BYTES`] or there is no room for
    /// it.
    pub fn publish_payload(&mut self, kind: u8, bytes: Vec<u8>) -> bool {
        if bytes.len() > MAX_PAYLOAD_BYTES {
            return false;
        }
        self.sequence += 1;
        let record = PayloadRecord {
            origin: self.settings.node.clone(),
            incarnation: self.settings.incarnation,
            kind,
            sequence: self.sequence,
            bytes,
        };
        self.store_payload(&record)
    }

    /// Stores a payload from a message and reports it, if it is newer than the one held.
    pub(super) fn apply_payload(
        &mut self,
        record: &PayloadRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let known = self.view.node(&record.origin).is_some();
        let own = record.origin == self.settings.node;
        if !known || own || record.bytes.len() > MAX_PAYLOAD_BYTES || !self.store_payload(record) {
            return;
        }
        actions.push(MemberAction::PayloadReceived {
            origin: record.origin.clone(),
            incarnation: record.incarnation,
            kind: record.kind,
            bytes: record.bytes.clone(),
        });
    }

    /// Sends a message together with queued rumours.
    pub(super) fn send(
        &mut self,
        to: &NodeName,
        body: MessageBody,
        actions: &mut Vec<MemberAction>,
    ) {
        let rumors = self.collect_rumors(to);
        self.send_with_rumors(to, body, rumors, actions);
    }

    /// Sends a message that only carries rumours.
    pub(super) fn send_gossip(&mut self, to: &NodeName, actions: &mut Vec<MemberAction>) {
        self.send(to, MessageBody::Gossip, actions);
    }

    /// Sends a node the record held of it, so that an old run learns of the later one.
    pub(super) fn send_node_record(
        &mut self,
        to: &NodeName,
        record: NodeRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let mut rumors = empty_rumors();
        rumors.nodes.push(record);
        self.send_with_rumors(to, MessageBody::Gossip, rumors, actions);
    }

    /// Sends urgent rumours to a few random peers without waiting for the next probe.
    pub(super) fn push_rumors(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if !self.push_pending || now < self.next_push {
            return;
        }
        self.push_pending = false;
        self.next_push = now + self.settings.push_interval;
        let mut peers = self.running_peers();
        peers.retain(|peer| self.has_working_link(peer));
        let count = self.settings.push_fanout;
        let chosen: Vec<NodeName> = peers
            .choose_multiple(&mut self.random, count)
            .cloned()
            .collect();
        for peer in chosen {
            self.send_gossip(&peer, actions);
        }
    }

    /// Other nodes of the own domain that are not dead, sorted by name.
    pub(super) fn running_peers(&self) -> Vec<NodeName> {
        let Some(view) = self.view.domain(&self.settings.domain) else {
            return Vec::new();
        };
        let running = view.nodes().iter().filter(|entry| entry.is_running());
        let names = running.map(|entry| &entry.record.node);
        names
            .filter(|node| **node != self.settings.node)
            .cloned()
            .collect()
    }

    /// Whether the direct link to a node is not known to be broken.
    pub(super) fn has_working_link(&self, node: &NodeName) -> bool {
        let entry = self.view.node(node);
        entry.is_some_and(|entry| entry.link == LinkState::Good)
    }

    fn send_with_rumors(
        &mut self,
        to: &NodeName,
        body: MessageBody,
        rumors: RumorList,
        actions: &mut Vec<MemberAction>,
    ) {
        let header = MessageHeader {
            incarnation: self.settings.incarnation,
            revision: self.revision,
            revision_digest: self.revision_digest,
            view_digest: self.view.digest(),
        };
        let message = MemberMessage {
            header,
            body,
            rumors,
        };
        actions.push(MemberAction::Send {
            to: to.clone(),
            message,
        });
    }

    /// Rumours for one message: this node's own record; the receiver's record if it is not alive
    /// there, so that the receiver can refute it; then queued rumours, within the own domain only.
    fn collect_rumors(&mut self, to: &NodeName) -> RumorList {
        let mut rumors = empty_rumors();
        rumors.nodes.push(self.own_record());
        if let Some(entry) = self.view.node(to) {
            let not_alive = entry.record.state != NodeState::Alive;
            if not_alive && entry.record.incarnation.0 != 0 {
                rumors.nodes.push(entry.record.clone());
            }
        }
        if self.view.domain_of(to) != Some(&self.settings.domain) {
            return rumors;
        }
        let equal_view = self.has_equal_view(to);
        let limit = self.rumor_send_limit();
        for key in self
            .rumors
            .take(self.settings.max_rumors_per_message, limit)
        {
            let redundant = equal_view && matches!(key, RumorKey::Node(_) | RumorKey::Target(..));
            if !redundant {
                self.add_rumor(&mut rumors, &key, to);
            }
        }
        rumors
    }

    /// Whether the last message of a node reported a digest equal to this node's: it then holds the
    /// same node and target records.
    fn has_equal_view(&self, node: &NodeName) -> bool {
        let entry = self.view.node(node);
        entry.is_some_and(|entry| entry.reported_view_digest == self.view.digest())
    }

    /// Number of messages that carry each rumour.
    fn rumor_send_limit(&self) -> u32 {
        let view = self.view.domain(&self.settings.domain);
        let size = view.map_or(1, |view| view.nodes().len() as u32);
        RUMOR_SEND_FACTOR * (size + 1).next_power_of_two().ilog2()
    }

    /// Adds the current record that a rumour refers to, if it is still held.
    fn add_rumor(&self, rumors: &mut RumorList, key: &RumorKey, to: &NodeName) {
        match key {
            RumorKey::Node(node) => {
                let included = rumors.nodes.iter().any(|record| record.node == *node);
                let entry = self.view.node(node).filter(|_| !included && node != to);
                rumors.nodes.extend(entry.map(|entry| entry.record.clone()));
            }
            RumorKey::Target(domain, target) => {
                let view = self.view.domain(domain);
                let found = view.and_then(|view| view.target(target));
                rumors
                    .targets
                    .extend(found.map(|entry| entry.record.clone()));
            }
            RumorKey::Domain(domain) => {
                let view = self.view.domain(domain);
                rumors
                    .domains
                    .extend(view.map(|view| self.summarise(view, SyncScope::Full)));
            }
            RumorKey::Payload(origin, kind) => {
                let mut found = self.payloads.iter();
                let found = found.find(|held| held.origin == *origin && held.kind == *kind);
                let found = found.filter(|_| rumors.payloads.len() < PAYLOADS_PER_MESSAGE);
                rumors.payloads.extend(found.cloned());
            }
        }
    }

    /// Stores and spreads a payload if it is newer than the one held; returns false if it is not,
    /// or if there is no room.
    fn store_payload(&mut self, record: &PayloadRecord) -> bool {
        let same = |held: &PayloadRecord| held.origin == record.origin && held.kind == record.kind;
        let age = |held: &PayloadRecord| (held.incarnation, held.sequence);
        match self.payloads.iter().position(same) {
            Some(index) if age(record) <= age(&self.payloads[index]) => return false,
            Some(index) => self.payloads[index] = record.clone(),
            None if self.payloads.len() >= MAX_STORED_PAYLOADS => return false,
            None => self.payloads.push(record.clone()),
        }
        let key = RumorKey::Payload(record.origin.clone(), record.kind);
        self.rumors.push(key);
        true
    }
}

fn empty_rumors() -> RumorList {
    RumorList {
        nodes: Vec::new(),
        targets: Vec::new(),
        domains: Vec::new(),
        payloads: Vec::new(),
    }
}
