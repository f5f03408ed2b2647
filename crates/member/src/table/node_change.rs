use base::{ClockTime, NodeName};
use schema::member::{NodeRecord, NodeState};

use super::{MemberAction, MemberTable};
use crate::gossip::RumorKey;
use crate::record::node_outranks;

impl MemberTable {
    /// Takes a record from a message; `spread` passes it on as a rumour.
    pub(super) fn apply_node(
        &mut self,
        now: ClockTime,
        record: &NodeRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if record.node == self.settings.node {
            return self.apply_own(now, record, actions);
        }
        let Some(entry) = self.view.node(&record.node) else {
            return;
        };
        if record.incarnation.0 == 0 || !node_outranks(record, &entry.record) {
            return;
        }
        self.change_node(now, record.clone(), spread, actions);
    }

    /// Replaces the record of another node and tells of the change.
    pub(super) fn change_node(
        &mut self,
        now: ClockTime,
        record: NodeRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let node = record.node.clone();
        let Some(domain) = self.view.place(&node).cloned() else {
            return;
        };
        let Some(entry) = self.view.node_mut(&node) else {
            return;
        };
        let before = (entry.record.incarnation, entry.record.state);
        let after = (record.incarnation, record.state);
        entry.dead_at = (record.state == NodeState::Dead).then_some(now);
        self.view.set_node(record);
        self.digest_changed = now;
        let local = domain == self.settings.domain;
        if local {
            self.track_suspicion(now, &node, after.1);
            self.elect_bridges(now);
        }
        if spread && after.0.0 != 0 {
            self.rumors.push(RumorKey::Node(node.clone()));
            self.push_wanted |= local;
        }
        if before != after {
            let (incarnation, state) = after;
            actions.push(MemberAction::Changed {
                node,
                domain,
                incarnation,
                state,
            });
        }
    }

    /// Declares a silent node suspect, or dead if suspicion is off.
    pub(super) fn suspect_node(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(entry) = self.view.node_mut(node) else {
            return;
        };
        entry.judged = true;
        let mut record = entry.record.clone();
        if !self.settings.mechanisms.suspicion {
            record.state = NodeState::Dead;
            return self.change_node(now, record, true, actions);
        }
        match record.state {
            NodeState::Alive => {
                record.state = NodeState::Suspect;
                self.change_node(now, record, true, actions);
            }
            NodeState::Suspect | NodeState::Leaving => self.start_suspicion(now, node),
            NodeState::Dead => {}
        }
    }

    pub(super) fn expire_suspicions(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let due = self
            .suspicions
            .iter()
            .filter(|(_, deadline)| *deadline <= now);
        let nodes: Vec<NodeName> = due.map(|(node, _)| node.clone()).collect();
        self.suspicions.retain(|(_, deadline)| *deadline > now);
        for node in nodes {
            let Some(entry) = self.view.node(&node) else {
                continue;
            };
            let state = NodeState::Dead;
            let record = NodeRecord {
                state,
                ..entry.record.clone()
            };
            self.change_node(now, record, true, actions);
        }
    }

    /// Ends the suspicion of a node that sent a message, unless it has yet to refute it.
    pub(super) fn clear_suspicion(&mut self, node: &NodeName) {
        let state = self.view.node(node).map(|entry| entry.record.state);
        if state != Some(NodeState::Suspect) {
            self.suspicions.retain(|(known, _)| known != node);
        }
    }

    /// Replaces this node's own record and spreads it.
    pub(super) fn set_own(&mut self, now: ClockTime, record: NodeRecord) {
        self.view.set_node(record);
        self.digest_changed = now;
        self.rumors.push(RumorKey::Node(self.settings.node.clone()));
        self.push_wanted = true;
        self.elect_bridges(now);
    }

    fn apply_own(&mut self, now: ClockTime, record: &NodeRecord, actions: &mut Vec<MemberAction>) {
        let own = self.own_record();
        if record.incarnation > own.incarnation {
            let incarnation = record.incarnation;
            if !self.superseded {
                actions.push(MemberAction::Superseded { incarnation });
            }
            self.superseded = true;
            return;
        }
        if !node_outranks(record, &own) || !self.settings.mechanisms.refutation {
            return;
        }
        if self.settings.mechanisms.local_health {
            self.health.worsen(1);
        }
        let version = record.version.saturating_add(1);
        self.set_own(now, NodeRecord { version, ..own });
    }

    fn track_suspicion(&mut self, now: ClockTime, node: &NodeName, state: NodeState) {
        if state == NodeState::Suspect {
            return self.start_suspicion(now, node);
        }
        self.suspicions.retain(|(known, _)| known != node);
    }

    fn start_suspicion(&mut self, now: ClockTime, node: &NodeName) {
        if self.suspicions.iter().any(|(known, _)| known == node) {
            return;
        }
        let deadline = now + self.health.scale(self.settings.suspicion_time);
        self.suspicions.push((node.clone(), deadline));
    }
}
