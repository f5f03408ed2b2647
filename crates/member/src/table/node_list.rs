use base::{ClockTime, NodeName, TimeSpan};
use schema::member::NodeState;

use super::{DeclaredNode, MemberAction, MemberTable, PlatformEntry, PlatformState};

impl MemberTable {
    /// Sets the nodes of the accepted declaration; other nodes are removed unless the platform
    /// lists them.
    pub fn on_declared_nodes(
        &mut self,
        now: ClockTime,
        nodes: &[DeclaredNode],
        actions: &mut Vec<MemberAction>,
    ) {
        for entry in self.entries_mut() {
            entry.declared = false;
        }
        for declared in nodes {
            if declared.node == self.settings.node {
                continue;
            }
            let entry = self.view.add_node(now, &declared.node, &declared.domain);
            entry.declared = true;
            entry.address = Some(declared.address);
        }
        self.remove_unlisted_nodes(now, actions);
    }

    /// Sets the platform's list of node VMs, which may be out of date by up to `lag`.
    ///
    /// The list adds unknown nodes, and determines the state of a node only until a probe or a peer
    /// does.
    pub fn on_platform_list(
        &mut self,
        now: ClockTime,
        list: &[PlatformEntry],
        lag: TimeSpan,
        actions: &mut Vec<MemberAction>,
    ) {
        for entry in self.entries_mut() {
            entry.listed = false;
        }
        for listed in list {
            if listed.node != self.settings.node {
                self.apply_listed_node(now, listed, lag, actions);
            }
        }
        self.remove_unlisted_nodes(now, actions);
    }

    /// Adds a listed node. A node of the own domain that was declared dead longer ago than `lag`,
    /// and is still listed as live, is probed again.
    fn apply_listed_node(
        &mut self,
        now: ClockTime,
        listed: &PlatformEntry,
        lag: TimeSpan,
        actions: &mut Vec<MemberAction>,
    ) {
        let known_domain = self.view.domain_of(&listed.node).or(listed.domain.as_ref());
        let Some(domain) = known_domain.cloned() else {
            return;
        };
        let entry = self.view.add_node(now, &listed.node, &domain);
        entry.listed = true;
        entry.address = entry.address.or(listed.address);
        if entry.record.incarnation.0 == 0 && !entry.state_observed {
            let mut record = entry.record.clone();
            record.state = match listed.state {
                PlatformState::Live => NodeState::Alive,
                PlatformState::Leaving => NodeState::Leaving,
            };
            return self.change_node(now, record, false, actions);
        }
        let local = domain == self.settings.domain;
        let dead_longer_than_lag = entry.dead_at.is_some_and(|dead| now - dead > lag);
        if local && dead_longer_than_lag && listed.state == PlatformState::Live {
            self.send_reconnect_probe(now, &listed.node, actions);
        }
    }

    /// Removes the nodes that are neither declared nor listed.
    fn remove_unlisted_nodes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let entries = self.view.domains().iter().flat_map(|view| view.nodes());
        let unlisted = entries.filter(|entry| !entry.declared && !entry.listed);
        let unlisted: Vec<NodeName> = unlisted.map(|entry| entry.record.node.clone()).collect();
        for node in unlisted {
            if node == self.settings.node {
                continue;
            }
            self.view.remove_node(&node);
            self.suspicions.retain(|(known, _)| *known != node);
            self.pending_probes.retain(|probe| probe.node != node);
            actions.push(MemberAction::NodeRemoved { node });
        }
        self.view.prune(&self.settings.domain);
        self.view_changed_at = now;
        self.elect_bridges(now);
    }

    fn entries_mut(&mut self) -> impl Iterator<Item = &mut crate::view::NodeEntry> {
        let views = self.view.domains_mut().iter_mut();
        views.flat_map(|view| view.nodes_mut())
    }
}
