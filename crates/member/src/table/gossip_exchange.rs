use base::{ClockTime, NodeName};
use rand::seq::IndexedRandom;
use schema::member::{
    MemberMessage, MessageBody, MessageHeader, NodeRecord, NodeState, PayloadRecord, RumorList,
};

use super::{MemberAction, MemberTable};
use crate::gossip::RumorKey;
use crate::view::{LinkState, TableScope};

/// Largest payload in bytes.
pub const PAYLOAD_LIMIT: usize = 512;

/// Payloads that are remembered, one for each node and kind.
const PAYLOAD_COUNT: usize = 256;

/// Payloads on one message.
const PAYLOADS_SENT: usize = 2;

/// Messages that carry one rumour, as a multiple of the logarithm of the domain's size.
const RUMOR_FACTOR: u32 = 3;

impl MemberTable {
    /// Spreads opaque news in this node's domain; it replaces the previous one of its kind.
    ///
    /// Returns false if the payload is larger than [`PAYLOAD_LIMIT`].
    pub fn publish_payload(&mut self, kind: u8, bytes: Vec<u8>) -> bool {
        if bytes.len() > PAYLOAD_LIMIT {
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

    pub(super) fn apply_payload(
        &mut self,
        record: &PayloadRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let known = self.view.node(&record.origin).is_some();
        let own = record.origin == self.settings.node;
        if !known || own || record.bytes.len() > PAYLOAD_LIMIT || !self.store_payload(record) {
            return;
        }
        actions.push(MemberAction::Payload {
            origin: record.origin.clone(),
            incarnation: record.incarnation,
            kind: record.kind,
            bytes: record.bytes.clone(),
        });
    }

    pub(super) fn send(
        &mut self,
        to: &NodeName,
        body: MessageBody,
        actions: &mut Vec<MemberAction>,
    ) {
        let rumors = self.take_rumors_for(to);
        self.send_with(to, body, rumors, actions);
    }

    pub(super) fn send_gossip(&mut self, to: &NodeName, actions: &mut Vec<MemberAction>) {
        self.send(to, MessageBody::Gossip, actions);
    }

    /// Tells a node what is known of it, so that an old run learns of its successor.
    pub(super) fn send_record(
        &mut self,
        to: &NodeName,
        record: NodeRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let mut rumors = empty_rumors();
        rumors.nodes.push(record);
        self.send_with(to, MessageBody::Gossip, rumors, actions);
    }

    /// Sends urgent rumours to a few random peers at once.
    pub(super) fn push_rumors(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if !self.push_wanted || now < self.next_push {
            return;
        }
        self.push_wanted = false;
        self.next_push = now + self.settings.push_gap;
        let mut peers = self.running_peers();
        peers.retain(|peer| self.has_link(peer));
        let count = self.settings.push_peers;
        let chosen: Vec<NodeName> = peers
            .choose_multiple(&mut self.random, count)
            .cloned()
            .collect();
        for peer in chosen {
            self.send_gossip(&peer, actions);
        }
    }

    /// Peers of the domain that are not dead, sorted by name.
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

    pub(super) fn has_link(&self, node: &NodeName) -> bool {
        let entry = self.view.node(node);
        entry.is_some_and(|entry| entry.link == LinkState::Good)
    }

    fn send_with(
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

    /// Rumours for one message: this node's own record, a doubt about the receiver, then news.
    fn take_rumors_for(&mut self, to: &NodeName) -> RumorList {
        let mut rumors = empty_rumors();
        rumors.nodes.push(self.own_record());
        if let Some(entry) = self.view.node(to) {
            let doubted = entry.record.state != NodeState::Alive;
            if doubted && entry.record.incarnation.0 != 0 {
                rumors.nodes.push(entry.record.clone());
            }
        }
        if self.view.place(to) != Some(&self.settings.domain) {
            return rumors;
        }
        let level = self.is_level(to);
        let limit = self.rumor_sends();
        for key in self.rumors.take(self.settings.rumor_limit, limit) {
            let needless = level && matches!(key, RumorKey::Node(_) | RumorKey::Target(..));
            if !needless {
                self.add_rumor(&mut rumors, &key, to);
            }
        }
        rumors
    }

    /// Whether a node told a digest equal to this node's: it has the records of all rumours.
    fn is_level(&self, node: &NodeName) -> bool {
        let entry = self.view.node(node);
        entry.is_some_and(|entry| entry.digest == self.view.digest())
    }

    fn rumor_sends(&self) -> u32 {
        let view = self.view.domain(&self.settings.domain);
        let size = view.map_or(1, |view| view.nodes().len() as u32);
        RUMOR_FACTOR * (size + 1).next_power_of_two().ilog2()
    }

    fn add_rumor(&self, rumors: &mut RumorList, key: &RumorKey, to: &NodeName) {
        match key {
            RumorKey::Node(node) => {
                let told = rumors.nodes.iter().any(|record| record.node == *node);
                let entry = self.view.node(node).filter(|_| !told && node != to);
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
                    .extend(view.map(|view| self.summarise(view, TableScope::Full)));
            }
            RumorKey::Payload(origin, kind) => {
                let mut found = self.payloads.iter();
                let found = found.find(|held| held.origin == *origin && held.kind == *kind);
                let found = found.filter(|_| rumors.payloads.len() < PAYLOADS_SENT);
                rumors.payloads.extend(found.cloned());
            }
        }
    }

    /// Keeps a payload if it is newer than the one held; drops it if the table is full.
    fn store_payload(&mut self, record: &PayloadRecord) -> bool {
        let same = |held: &PayloadRecord| held.origin == record.origin && held.kind == record.kind;
        let age = |held: &PayloadRecord| (held.incarnation, held.sequence);
        match self.payloads.iter().position(same) {
            Some(place) if age(record) <= age(&self.payloads[place]) => return false,
            Some(place) => self.payloads[place] = record.clone(),
            None if self.payloads.len() >= PAYLOAD_COUNT => return false,
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
