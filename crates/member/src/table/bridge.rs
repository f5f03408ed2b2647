use base::{ClockTime, DomainName, NodeName};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use schema::member::DomainRecord;

use super::{MemberAction, MemberTable, ViewState};
use crate::gossip::RumorKey;
use crate::merge_domains;
use crate::view::{DomainView, SyncScope};

/// One in this many messages to another domain goes to any known node of it, so that a wrong view
/// of which nodes are its bridges does not cut the domains off from each other.
const ANY_NODE_RATIO: u32 = 4;

/// Sequence number of syncs between bridges. Syncs that `start_sync` tracks have higher numbers, so
/// a sync with this one never confirms a view.
const BRIDGE_SYNC_SEQUENCE: u64 = 0;

impl MemberTable {
    /// Runs the periodic work of a bridge node, if this node is one: the first bridge advances the
    /// sequence of the domain's summary; each detects lost domains and syncs with one other domain.
    pub(super) fn run_bridge(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let Some(rank) = self.bridge_rank else {
            return;
        };
        if rank == 0 && now >= self.next_sequence_advance {
            self.next_sequence_advance = now + self.settings.bridge_interval;
            self.advance_sequence(now);
        }
        if now < self.next_bridge_send {
            return;
        }
        self.next_bridge_send = now + self.settings.bridge_interval;
        self.detect_lost_domains(now, actions);
        let domain = self.next_domain();
        let Some(peer) = domain.and_then(|domain| self.choose_peer_of(&domain)) else {
            return;
        };
        if self.view_state != ViewState::Confirmed && self.running_peers().is_empty() {
            return self.start_sync(now, &peer, actions);
        }
        self.send_sync_start(&peer, BRIDGE_SYNC_SEQUENCE, actions);
    }

    /// Merges a summary from a message; of the own domain's summary only the sequence is used.
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
            view.sequence_advanced_at = now;
        }
        view.record = merged.clone();
        let reported = (before.lost, before.live, before.revision);
        if reported != (merged.lost, merged.live, merged.revision) {
            self.rumors.push(RumorKey::Domain(merged.domain.clone()));
        }
        if before.lost != merged.lost {
            self.report_domain_change(now, &merged, actions);
        }
    }

    /// Summary of a domain, with the digest of the records held here.
    pub(super) fn summarise(&self, view: &DomainView, scope: SyncScope) -> DomainRecord {
        let mut record = view.record.clone();
        record.digest = view.digest(scope);
        if *view.name() == self.settings.domain {
            record.live = view.live_count();
            record.revision = self.revision;
        }
        record
    }

    fn advance_sequence(&mut self, now: ClockTime) {
        if let Some(view) = self.view.domain_mut(&self.settings.domain) {
            view.record.sequence += 1;
            view.sequence_advanced_at = now;
        }
    }

    /// Marks domains whose summary has not advanced for `domain_timeout` as lost.
    fn detect_lost_domains(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        let timeout = self.settings.domain_timeout;
        let own = &self.settings.domain;
        let mut lost = Vec::new();
        for view in self.view.domains_mut() {
            let silent = now - view.sequence_advanced_at > timeout;
            if silent && !view.record.lost && view.name() != own {
                view.record.lost = true;
                lost.push(view.record.clone());
            }
        }
        for record in lost {
            self.rumors.push(RumorKey::Domain(record.domain.clone()));
            self.report_domain_change(now, &record, actions);
        }
    }

    /// Reports that a domain was lost or found again, and has the rumour pushed at once.
    fn report_domain_change(
        &mut self,
        now: ClockTime,
        record: &DomainRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        self.view_changed_at = now;
        self.push_pending = true;
        let domain = record.domain.clone();
        let reachable = !record.lost;
        actions.push(MemberAction::DomainChanged { domain, reachable });
    }

    /// Returns the next other domain; all are visited once per round, in random order.
    fn next_domain(&mut self) -> Option<DomainName> {
        if let Some(domain) = self.remaining_domains.pop() {
            return Some(domain);
        }
        let names = self.view.domains().iter().map(|view| view.name());
        let others = names.filter(|name| **name != self.settings.domain);
        self.remaining_domains = others.cloned().collect();
        self.remaining_domains.shuffle(&mut self.random);
        self.remaining_domains.pop()
    }

    /// Chooses a node of another domain to send to: mostly one of its bridges.
    fn choose_peer_of(&mut self, domain: &DomainName) -> Option<NodeName> {
        let bridges = self.bridges(domain);
        let any_node = self.random.random_ratio(1, ANY_NODE_RATIO);
        if !any_node && !bridges.is_empty() {
            return bridges.choose(&mut self.random).cloned();
        }
        let nodes = self.view.domain(domain)?.nodes();
        let chosen = nodes.choose(&mut self.random)?;
        Some(chosen.record.node.clone())
    }
}
