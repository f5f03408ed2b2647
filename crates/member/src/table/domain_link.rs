use base::{ClockTime, DomainName, NodeName};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use schema::member::DomainRecord;

use super::{MemberAction, MemberTable, ViewState};
use crate::gossip::RumorKey;
use crate::merge_domains;
use crate::view::{DomainView, TableScope};

/// One in this many messages to another domain goes to any of its declared nodes, so that a
/// wrong view of its bridges does not cut the domains from each other.
const WIDE_CHOICE: u32 = 4;

/// Number of the comparisons between domains, which confirm no view.
const BRIDGE_SYNC: u64 = 0;

impl MemberTable {
    /// Does the work of a bridge, if this node is one.
    pub(super) fn tick_bridge(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let Some(rank) = self.bridge_rank else {
            return;
        };
        if rank == 0 && now >= self.next_sequence {
            self.next_sequence = now + self.settings.bridge_period;
            self.raise_sequence(now);
        }
        if now < self.next_bridge {
            return;
        }
        self.next_bridge = now + self.settings.bridge_period;
        self.find_lost(now, actions);
        let domain = self.next_domain();
        let Some(peer) = domain.and_then(|domain| self.choose_bridge(&domain)) else {
            return;
        };
        if self.view_state != ViewState::Confirmed && self.running_peers().is_empty() {
            return self.start_sync(now, &peer, actions);
        }
        self.send_summaries(&peer, BRIDGE_SYNC, actions);
    }

    pub(super) fn apply_domain(
        &mut self,
        now: ClockTime,
        record: &DomainRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let own = record.domain == self.settings.domain;
        let Some(view) = self.view.domain_mut(&record.domain) else {
            return;
        };
        if own {
            view.record.sequence = view.record.sequence.max(record.sequence);
            return;
        }
        let merged = merge_domains(&view.record, record);
        let before = view.record.clone();
        if merged.sequence > before.sequence {
            view.advanced_at = now;
        }
        view.record = merged.clone();
        let shown = (before.lost, before.live, before.revision);
        if shown != (merged.lost, merged.live, merged.revision) {
            self.rumors.push(RumorKey::Domain(merged.domain.clone()));
        }
        if before.lost != merged.lost {
            self.tell_lost(now, &merged, actions);
        }
    }

    /// Summary of a domain with the digest of the records held here.
    pub(super) fn summarise(&self, view: &DomainView, scope: TableScope) -> DomainRecord {
        let mut record = view.record.clone();
        record.digest = view.digest(scope);
        if *view.name() == self.settings.domain {
            record.live = view.live_count();
            record.revision = self.revision;
        }
        record
    }

    fn raise_sequence(&mut self, now: ClockTime) {
        if let Some(view) = self.view.domain_mut(&self.settings.domain) {
            view.record.sequence += 1;
            view.advanced_at = now;
        }
    }

    fn find_lost(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let timeout = self.settings.domain_timeout;
        let own = &self.settings.domain;
        let mut lost = Vec::new();
        for view in self.view.domains_mut() {
            let silent = now - view.advanced_at > timeout;
            if silent && !view.record.lost && view.name() != own {
                view.record.lost = true;
                lost.push(view.record.clone());
            }
        }
        for record in lost {
            self.rumors.push(RumorKey::Domain(record.domain.clone()));
            self.tell_lost(now, &record, actions);
        }
    }

    fn tell_lost(
        &mut self,
        now: ClockTime,
        record: &DomainRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        self.digest_changed = now;
        self.push_wanted = true;
        let domain = record.domain.clone();
        let reachable = !record.lost;
        actions.push(MemberAction::DomainChanged { domain, reachable });
    }

    /// Next other domain in a random round.
    fn next_domain(&mut self) -> Option<DomainName> {
        if let Some(domain) = self.bridge_round.pop() {
            return Some(domain);
        }
        let names = self.view.domains().iter().map(|view| view.name());
        let others = names.filter(|name| **name != self.settings.domain);
        self.bridge_round = others.cloned().collect();
        self.bridge_round.shuffle(&mut self.random);
        self.bridge_round.pop()
    }

    fn choose_bridge(&mut self, domain: &DomainName) -> Option<NodeName> {
        let bridges = self.bridges(domain);
        let wide = self.random.random_ratio(1, WIDE_CHOICE);
        if !wide && !bridges.is_empty() {
            return bridges.choose(&mut self.random).cloned();
        }
        let nodes = self.view.domain(domain)?.nodes();
        let chosen = nodes.choose(&mut self.random)?;
        Some(chosen.record.node.clone())
    }
}
