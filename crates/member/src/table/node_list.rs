use base::{ClockTime, NodeName, TimeSpan};
use schema::member::NodeState;

use super::{DeclaredNode, MemberAction, MemberTable, PlatformEntry, PlatformState};

impl MemberTable {
    /// Takes the nodes of the accepted declaration; others are forgotten unless the platform
    /// lists them.
    pub fn on_declared(
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
        self.forget_nodes(now, actions);
    }

    /// Takes the platform's list of node VMs, which lies up to `lag` behind.
    ///
    /// It makes nodes known and stands in for their state until a probe or a peer tells it.
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
                self.take_listed(now, listed, lag, actions);
            }
        }
        self.forget_nodes(now, actions);
    }

    fn take_listed(
        &mut self,
        now: ClockTime,
        listed: &PlatformEntry,
        lag: TimeSpan,
        actions: &mut Vec<MemberAction>,
    ) {
        let place = self.view.place(&listed.node).or(listed.domain.as_ref());
        let Some(domain) = place.cloned() else {
            return;
        };
        let entry = self.view.add_node(now, &listed.node, &domain);
        entry.listed = true;
        entry.address = entry.address.or(listed.address);
        if entry.record.incarnation.0 == 0 && !entry.judged {
            let mut record = entry.record.clone();
            record.state = match listed.state {
                PlatformState::Live => NodeState::Alive,
                PlatformState::Leaving => NodeState::Leaving,
            };
            return self.change_node(now, record, false, actions);
        }
        let local = domain == self.settings.domain;
        let outlived = entry.dead_at.is_some_and(|dead| now - dead > lag);
        if local && outlived && listed.state == PlatformState::Live {
            self.send_reconnect(now, &listed.node, actions);
        }
    }

    fn forget_nodes(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let entries = self.view.domains().iter().flat_map(|view| view.nodes());
        let gone = entries.filter(|entry| !entry.declared && !entry.listed);
        let gone: Vec<NodeName> = gone.map(|entry| entry.record.node.clone()).collect();
        for node in gone {
            if node == self.settings.node {
                continue;
            }
            self.view.remove_node(&node);
            self.suspicions.retain(|(known, _)| *known != node);
            self.pending.retain(|probe| probe.node != node);
            actions.push(MemberAction::Removed { node });
        }
        self.view.prune(&self.settings.domain);
        self.digest_changed = now;
        self.elect_bridges(now);
    }

    fn entries_mut(&mut self) -> impl Iterator<Item = &mut crate::view::NodeEntry> {
        let views = self.view.domains_mut().iter_mut();
        views.flat_map(|view| view.nodes_mut())
    }
}
