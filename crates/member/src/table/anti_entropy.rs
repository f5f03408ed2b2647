use std::collections::BTreeMap;

use base::{ClockTime, NodeName, TargetName, TimeSpan};
use rand::Rng;
use schema::member::{
    DomainRecord, MessageBody, NodeRecord, SyncOfferBody, SyncRecordsBody, SyncStartBody,
    TableDigest, TargetRecord, WantedParts,
};

use super::{MemberAction, MemberTable, ViewState};
use crate::merge_targets;
use crate::record::{PART_COUNT, part_of};
use crate::view::{DomainView, NodeEntry, TableScope};

/// Time without a change after which rumours are taken to have arrived.
const SETTLE_TIME: TimeSpan = TimeSpan::new(1_500);

/// Time of a mismatch after which views are compared although changes go on.
const MISMATCH_LIMIT: TimeSpan = TimeSpan::new(5_000);

/// Time after which a comparison without an answer is given up.
const SYNC_TIMEOUT: TimeSpan = TimeSpan::new(2_000);

/// Time after which a node that nobody answered counts as isolated.
const ISOLATION_TIME: TimeSpan = TimeSpan::new(3_000);

/// Records of one comparison that are passed on as rumours; more are left to further comparisons.
const SPREAD_LIMIT: usize = 16;

impl MemberTable {
    pub(super) fn is_settled(&self, now: ClockTime, mismatch: ClockTime) -> bool {
        now - self.digest_changed >= SETTLE_TIME || now - mismatch >= MISMATCH_LIMIT
    }

    /// Starts a comparison of views with a peer, one at a time and not too often.
    pub(super) fn start_sync(
        &mut self,
        now: ClockTime,
        peer: &NodeName,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.sync.is_some() || now < self.next_sync {
            return;
        }
        let gap = self.settings.sync_gap.as_millis();
        let jitter = TimeSpan::new(self.random.random_range(0..=gap));
        self.next_sync = now + self.settings.sync_gap + jitter;
        self.sequence += 1;
        self.sync = Some((self.sequence, now));
        self.send_summaries(peer, self.sequence, actions);
    }

    pub(super) fn send_summaries(
        &mut self,
        peer: &NodeName,
        sequence: u64,
        actions: &mut Vec<MemberAction>,
    ) {
        let domains = self.summaries(self.scope_for(peer));
        let start = SyncStartBody { sequence, domains };
        self.send(peer, MessageBody::SyncStart(start), actions);
    }

    pub(super) fn expire_sync(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if self
            .sync
            .is_some_and(|(_, since)| now - since > SYNC_TIMEOUT)
        {
            self.sync = None;
        }
        let waiting = self.view_state == ViewState::Unconfirmed;
        if waiting && now - self.view_since > ISOLATION_TIME {
            self.set_view_state(ViewState::Isolated, actions);
        }
    }

    pub(super) fn answer_sync(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        start: &SyncStartBody,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.may_answer(now) {
            return;
        }
        let mut newer = Vec::new();
        let scope = self.scope_for(from);
        for held in self.summaries(scope) {
            let mut told = start.domains.iter();
            let told = told.find(|record| record.domain == held.domain);
            if told
                .is_none_or(|record| held.sequence > record.sequence || held.lost && !record.lost)
            {
                newer.push(held);
            }
        }
        for record in &start.domains {
            self.apply_domain(now, record, actions);
        }
        let tables = self.differing(&start.domains, scope);
        let offer = SyncOfferBody {
            sequence: start.sequence,
            domains: newer,
            tables,
        };
        self.send(from, MessageBody::SyncOffer(offer), actions);
    }

    pub(super) fn take_offer(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        offer: &SyncOfferBody,
        actions: &mut Vec<MemberAction>,
    ) {
        for record in &offer.domains {
            self.apply_domain(now, record, actions);
        }
        let scope = self.scope_for(from);
        let mut records = empty_records(offer.sequence);
        for table in &offer.tables {
            let Some(view) = self.view.domain(&table.domain) else {
                continue;
            };
            let mask = differing_parts(view.parts(scope), &table.parts);
            self.add_records(&mut records, view, mask, scope);
            let domain = table.domain.clone();
            records.wanted.push(WantedParts { domain, mask });
        }
        if records.wanted.is_empty() {
            return self.finish_sync(offer.sequence, actions);
        }
        self.limit_records(&mut records);
        self.send(from, MessageBody::SyncRecords(records), actions);
    }

    pub(super) fn take_records(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        records: &SyncRecordsBody,
        actions: &mut Vec<MemberAction>,
    ) {
        let answer = self.answer_records(records, self.scope_for(from));
        let before = self.view.digest();
        let spread = self.count_news(records) <= SPREAD_LIMIT;
        for record in &records.nodes {
            self.apply_node(now, record, spread, actions);
        }
        for record in &records.targets {
            self.apply_target(now, record, spread, actions);
        }
        if self.view.digest() != before {
            self.digest_changed = now;
        }
        if records.wanted.is_empty() {
            return self.finish_sync(records.sequence, actions);
        }
        self.send(from, MessageBody::SyncRecords(answer), actions);
    }

    /// Ends a comparison; one that began before a pause confirms nothing.
    fn finish_sync(&mut self, sequence: u64, actions: &mut Vec<MemberAction>) {
        if self.sync.is_none_or(|(current, _)| current != sequence) {
            return;
        }
        self.sync = None;
        self.mismatch_since = None;
        self.set_view_state(ViewState::Confirmed, actions);
    }

    fn may_answer(&mut self, now: ClockTime) -> bool {
        if now - self.answers_since >= TimeSpan::from_secs(1) {
            self.answers_since = now;
            self.answers = 0;
        }
        self.answers += 1;
        self.answers <= self.settings.sync_answers
    }

    /// Records that are compared with a node: fewer if it is in another domain.
    fn scope_for(&self, peer: &NodeName) -> TableScope {
        if self.view.place(peer) == Some(&self.settings.domain) {
            return TableScope::Full;
        }
        TableScope::Public
    }

    fn summaries(&self, scope: TableScope) -> Vec<DomainRecord> {
        let views = self.view.domains().iter();
        views.map(|view| self.summarise(view, scope)).collect()
    }

    /// Parts of the domains whose digests differ from the asker's.
    fn differing(&self, told: &[DomainRecord], scope: TableScope) -> Vec<TableDigest> {
        let mut tables = Vec::new();
        for view in self.view.domains() {
            let digest = view.digest(scope);
            let mut told = told.iter();
            if told.any(|record| record.domain == *view.name() && record.digest == digest) {
                continue;
            }
            let domain = view.name().clone();
            let parts = view.parts(scope).to_vec();
            tables.push(TableDigest { domain, parts });
        }
        tables
    }

    fn add_records(
        &self,
        records: &mut SyncRecordsBody,
        view: &DomainView,
        mask: u16,
        scope: TableScope,
    ) {
        let known = |entry: &&NodeEntry| entry.record.incarnation.0 != 0;
        let nodes = view.nodes().iter().filter(known).map(|entry| &entry.record);
        let nodes = nodes.filter(|record| has_part(mask, record.node.as_str()));
        records.nodes.extend(nodes.cloned());
        let targets = view.targets(scope);
        let targets = targets.filter(|record| has_part(mask, record.target.as_str()));
        records.targets.extend(targets.cloned());
    }

    /// Bounds a message; what is left out follows in the next comparison.
    fn limit_records(&self, records: &mut SyncRecordsBody) {
        records.nodes.truncate(self.settings.sync_records);
        records.targets.truncate(self.settings.sync_records);
    }

    /// Records of the wanted parts that the asker does not have already.
    fn answer_records(&self, asked: &SyncRecordsBody, scope: TableScope) -> SyncRecordsBody {
        let mut answer = empty_records(asked.sequence);
        for wanted in &asked.wanted {
            if let Some(view) = self.view.domain(&wanted.domain) {
                self.add_records(&mut answer, view, wanted.mask, scope);
            }
        }
        let nodes: BTreeMap<&NodeName, &NodeRecord> = asked
            .nodes
            .iter()
            .map(|record| (&record.node, record))
            .collect();
        let told = |record: &NodeRecord| nodes.get(&record.node) == Some(&record);
        answer.nodes.retain(|record| !told(record));
        let targets: BTreeMap<&TargetName, &TargetRecord> = asked
            .targets
            .iter()
            .map(|record| (&record.target, record))
            .collect();
        let told = |record: &TargetRecord| targets.get(&record.target) == Some(&record);
        answer.targets.retain(|record| !told(record));
        self.add_corrections(&mut answer, asked);
        self.limit_records(&mut answer);
        answer
    }

    /// Adds records that are newer than the asker's but not among those that are compared: a
    /// domain that was cut off while a target recovered would not learn of it otherwise.
    fn add_corrections(&self, answer: &mut SyncRecordsBody, asked: &SyncRecordsBody) {
        for told in &asked.targets {
            let view = self.view.domain(&told.domain);
            let held = view.and_then(|view| view.target(&told.target));
            let Some(held) = held.filter(|held| !held.public) else {
                continue;
            };
            let newer = merge_targets(&held.record, told) == held.record && held.record != *told;
            if newer && !answer.targets.contains(&held.record) {
                answer.targets.push(held.record.clone());
            }
        }
    }

    fn count_news(&self, records: &SyncRecordsBody) -> usize {
        let held = |record: &&NodeRecord| self.view.node(&record.node).map(|entry| &entry.record);
        let nodes = records
            .nodes
            .iter()
            .filter(|record| held(record) != Some(record));
        let targets = records.targets.iter().filter(|record| {
            let view = self.view.domain(&record.domain);
            let held = view.and_then(|view| view.target(&record.target));
            held.map(|held| &held.record) != Some(record)
        });
        nodes.count() + targets.count()
    }
}

fn differing_parts(held: &[u64; PART_COUNT], told: &[u64]) -> u16 {
    let mut mask = 0;
    for (place, part) in held.iter().enumerate() {
        if told.get(place) != Some(part) {
            mask |= 1 << place;
        }
    }
    mask
}

fn has_part(mask: u16, name: &str) -> bool {
    const { assert!(PART_COUNT <= u16::BITS as usize) };
    mask & 1 << part_of(name) != 0
}

fn empty_records(sequence: u64) -> SyncRecordsBody {
    SyncRecordsBody {
        sequence,
        nodes: Vec::new(),
        targets: Vec::new(),
        wanted: Vec::new(),
    }
}
