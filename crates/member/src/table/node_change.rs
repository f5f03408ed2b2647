use base::{ClockTime, NodeName};
use schema::member::{NodeRecord, NodeState};

use super::{MemberAction, MemberTable};
use crate::gossip::RumorKey;
use crate::record::node_outranks;

impl MemberTable {
    /// Applies a node record from a message if it outranks the held one; `spread` passes it on as a
    /// rumour.
    pub(super) fn apply_node(
        &mut self,
        now: ClockTime,
        record: &NodeRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        if record.node == self.settings.node {
            return self.apply_own_record(now, record, actions);
        }
        let Some(entry) = self.view.node(&record.node) else {
            return;
        };
        if record.incarnation.0 == 0 || !node_outranks(record, &entry.record) {
            return;
        }
        self.change_node(now, record.clone(), spread, actions);
    }

    /// Replaces the record of another node and reports the change.
    pub(super) fn change_node(
        &mut self,
        now: ClockTime,
        record: NodeRecord,
        spread: bool,
        actions: &mut Vec<MemberAction>,
    ) {
        let node = record.node.clone();
        let Some(domain) = self.view.domain_of(&node).cloned() else {
            return;
        };
        let Some(entry) = self.view.node_mut(&node) else {
            return;
        };
        let before = (entry.record.incarnation, entry.record.state);
        let after = (record.incarnation, record.state);
        entry.dead_at = (record.state == NodeState::Dead).then_some(now);
        self.view.set_node(record);
        self.view_changed_at = now;
        let local = domain == self.settings.domain;
        if local {
            self.update_suspicion(now, &node, after.1);
            self.elect_bridges(now);
        }
        if spread && after.0.0 != 0 {
            self.rumors.push(RumorKey::Node(node.clone()));
            self.push_pending |= local;
        }
        if before != after {
            let (incarnation, state) = after;
            actions.push(MemberAction::NodeChanged {
                node,
                domain,
                incarnation,
                state,
            });
        }
    }

    /// Suspects a node that did not answer, or declares it dead if suspicion is switched off.
    pub(super) fn suspect_node(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(entry) = self.view.node_mut(node) else {
            return;
        };
        entry.state_observed = true;
        let mut record = entry.record.clone();
        if !self.settings.features.suspicion {
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

    /// Declares the nodes dead whose suspicion was not refuted in time.
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

    /// Ends the suspicion of a node that sent a message, unless its record still says suspect: then
    /// the node has to refute it.
    pub(super) fn clear_suspicion(&mut self, node: &NodeName) {
        let state = self.view.node(node).map(|entry| entry.record.state);
        if state != Some(NodeState::Suspect) {
            self.suspicions.retain(|(known, _)| known != node);
        }
    }

    /// Replaces this node's own record and spreads it.
    pub(super) fn set_own_record(&mut self, now: ClockTime, record: NodeRecord) {
        self.view.set_node(record);
        self.view_changed_at = now;
        self.rumors.push(RumorKey::Node(self.settings.node.clone()));
        self.push_pending = true;
        self.elect_bridges(now);
    }

    /// Handles a record about this node: one of this run that outranks its own is refuted and
    /// worsens the local health score; one of a later run is reported.
    fn apply_own_record(
        &mut self,
        now: ClockTime,
        record: &NodeRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let own = self.own_record();
        if record.incarnation > own.incarnation {
            let incarnation = record.incarnation;
            if !self.superseded {
                actions.push(MemberAction::Superseded { incarnation });
            }
            self.superseded = true;
            return;
        }
        if !node_outranks(record, &own) || !self.settings.features.refutation {
            return;
        }
        if self.settings.features.local_health {
            self.local_health.worsen(1);
        }
        let version = record.version.saturating_add(1);
        self.set_own_record(now, NodeRecord { version, ..own });
    }

    /// Starts or ends the suspicion of a node according to its new state.
    fn update_suspicion(&mut self, now: ClockTime, node: &NodeName, state: NodeState) {
        if state == NodeState::Suspect {
            return self.start_suspicion(now, node);
        }
        self.suspicions.retain(|(known, _)| known != node);
    }

    /// Starts the timer after which a node is declared dead, unless it runs already.
    fn start_suspicion(&mut self, now: ClockTime, node: &NodeName) {
        if self.suspicions.iter().any(|(known, _)| known == node) {
            return;
        }
        let deadline = now + self.local_health.scale(self.settings.suspicion_timeout);
        self.suspicions.push((node.clone(), deadline));
    }
}
