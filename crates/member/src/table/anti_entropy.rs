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
use crate::view::{DomainView, NodeEntry, SyncScope};

/// Time without a change of the view after which queued rumours are assumed to have reached the
/// peers.
const RUMOR_SETTLE_TIME: TimeSpan = TimeSpan::new(1_500);

/// Time after which a lasting mismatch of digests starts a sync even if the view keeps changing.
const MISMATCH_TIMEOUT: TimeSpan = TimeSpan::new(5_000);

/// Time after which a sync without an answer is given up.
const SYNC_TIMEOUT: TimeSpan = TimeSpan::new(2_000);

/// Time after the start or a pause by which a peer must have confirmed the view; otherwise this
/// node counts as isolated.
const ISOLATION_TIMEOUT: TimeSpan = TimeSpan::new(3_000);

/// Most changed records of one sync message that are spread as rumours; with more of them, none is
/// spread and later syncs distribute them.
const MAX_SPREAD_RECORDS: usize = 16;

impl MemberTable {
    /// Whether a mismatch of digests justifies a sync: the view has not changed for a while, so
    /// that rumours will not resolve it, or the mismatch has lasted too long.
    pub(super) fn is_sync_due(&self, now: ClockTime, mismatch: ClockTime) -> bool {
        now - self.view_changed_at >= RUMOR_SETTLE_TIME || now - mismatch >= MISMATCH_TIMEOUT
    }

    /// Starts an anti-entropy sync with a peer: both compare digests of their records and exchange
    /// those that differ. Does nothing while another sync runs or if the last one started too
    /// recently.
    pub(super) fn start_sync(
        &mut self,
        now: ClockTime,
        peer: &NodeName,
        actions: &mut Vec<MemberAction>,
    ) {
        if self.current_sync.is_some() || now < self.next_sync {
            return;
        }
        let interval = self.settings.sync_interval.as_millis();
        let jitter = TimeSpan::new(self.random.random_range(0..=interval));
        self.next_sync = now + self.settings.sync_interval + jitter;
        self.sequence += 1;
        self.current_sync = Some((self.sequence, now));
        self.send_sync_start(peer, self.sequence, actions);
    }

    /// Sends the summaries of all domains, with which the peer finds the domains whose records
    /// differ.
    pub(super) fn send_sync_start(
        &mut self,
        peer: &NodeName,
        sequence: u64,
        actions: &mut Vec<MemberAction>,
    ) {
        let domains = self.summaries(self.scope_for(peer));
        let start = SyncStartBody { sequence, domains };
        self.send(peer, MessageBody::SyncStart(start), actions);
    }

    /// Gives up a sync without an answer, and marks this node isolated if no peer has confirmed its
    /// view in time.
    pub(super) fn expire_sync(&mut self, now: ClockTime, actions: &mut Vec<MemberAction>) {
        if self
            .current_sync
            .is_some_and(|(_, since)| now - since > SYNC_TIMEOUT)
        {
            self.current_sync = None;
        }
        let unconfirmed = self.view_state == ViewState::Unconfirmed;
        if unconfirmed && now - self.unconfirmed_since > ISOLATION_TIMEOUT {
            self.set_view_state(ViewState::Isolated, actions);
        }
    }

    /// Answers the start of a sync with newer summaries and with the part digests of the domains
    /// that differ; ignores it above the rate limit.
    pub(super) fn handle_sync_start(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        start: &SyncStartBody,
        actions: &mut Vec<MemberAction>,
    ) {
        if !self.take_answer_quota(now) {
            return;
        }
        let mut newer = Vec::new();
        let scope = self.scope_for(from);
        for held in self.summaries(scope) {
            let mut reported = start.domains.iter();
            let reported = reported.find(|record| record.domain == held.domain);
            if reported
                .is_none_or(|record| held.sequence > record.sequence || held.lost && !record.lost)
            {
                newer.push(held);
            }
        }
        for record in &start.domains {
            self.apply_domain(now, record, actions);
        }
        let tables = self.differing_tables(&start.domains, scope);
        let offer = SyncOfferBody {
            sequence: start.sequence,
            domains: newer,
            tables,
        };
        self.send(from, MessageBody::SyncOffer(offer), actions);
    }

    /// Sends this node's records of the parts that differ and asks for the peer's; ends the sync if
    /// no domain differs.
    pub(super) fn handle_sync_offer(
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
            let mask = differing_parts(view.part_digests(scope), &table.parts);
            self.add_records(&mut records, view, mask, scope);
            let domain = table.domain.clone();
            records.wanted.push(WantedParts { domain, mask });
        }
        if records.wanted.is_empty() {
            return self.finish_sync(offer.sequence, actions);
        }
        self.truncate_records(&mut records);
        self.send(from, MessageBody::SyncRecords(records), actions);
    }

    /// Merges the records of a peer. If the peer also asks for parts, answers with this node's
    /// records of them; otherwise the sync is over.
    pub(super) fn handle_sync_records(
        &mut self,
        now: ClockTime,
        from: &NodeName,
        records: &SyncRecordsBody,
        actions: &mut Vec<MemberAction>,
    ) {
        let answer = self.collect_answer(records, self.scope_for(from));
        let before = self.view.digest();
        let spread = self.count_changed_records(records) <= MAX_SPREAD_RECORDS;
        for record in &records.nodes {
            self.apply_node(now, record, spread, actions);
        }
        for record in &records.targets {
            self.apply_target(now, record, spread, actions);
        }
        if self.view.digest() != before {
            self.view_changed_at = now;
        }
        if records.wanted.is_empty() {
            return self.finish_sync(records.sequence, actions);
        }
        self.send(from, MessageBody::SyncRecords(answer), actions);
    }

    /// Ends the running sync and marks the view confirmed. A sync that began before a pause is no
    /// longer the running one and confirms nothing.
    fn finish_sync(&mut self, sequence: u64, actions: &mut Vec<MemberAction>) {
        if self
            .current_sync
            .is_none_or(|(current, _)| current != sequence)
        {
            return;
        }
        self.current_sync = None;
        self.mismatch_since = None;
        self.set_view_state(ViewState::Confirmed, actions);
    }

    /// Counts a request for a sync; returns whether it is within the limit of this second.
    fn take_answer_quota(&mut self, now: ClockTime) -> bool {
        if now - self.sync_answers_since >= TimeSpan::from_secs(1) {
            self.sync_answers_since = now;
            self.sync_answers = 0;
        }
        self.sync_answers += 1;
        self.sync_answers <= self.settings.max_sync_answers_per_second
    }

    /// Records to compare with a node: all within the own domain, the exported ones with other
    /// domains.
    fn scope_for(&self, peer: &NodeName) -> SyncScope {
        if self.view.domain_of(peer) == Some(&self.settings.domain) {
            return SyncScope::Full;
        }
        SyncScope::Exported
    }

    fn summaries(&self, scope: SyncScope) -> Vec<DomainRecord> {
        let views = self.view.domains().iter();
        views.map(|view| self.summarise(view, scope)).collect()
    }

    /// Part digests of the domains whose digest differs from the reported one.
    fn differing_tables(&self, reported: &[DomainRecord], scope: SyncScope) -> Vec<TableDigest> {
        let mut tables = Vec::new();
        for view in self.view.domains() {
            let digest = view.digest(scope);
            let mut reported = reported.iter();
            if reported.any(|record| record.domain == *view.name() && record.digest == digest) {
                continue;
            }
            let domain = view.name().clone();
            let parts = view.part_digests(scope).to_vec();
            tables.push(TableDigest { domain, parts });
        }
        tables
    }

    /// Adds this node's records of the parts in `mask`; nodes whose run is unknown are left out.
    fn add_records(
        &self,
        records: &mut SyncRecordsBody,
        view: &DomainView,
        mask: u16,
        scope: SyncScope,
    ) {
        let known = |entry: &&NodeEntry| entry.record.incarnation.0 != 0;
        let nodes = view.nodes().iter().filter(known).map(|entry| &entry.record);
        let nodes = nodes.filter(|record| mask_contains(mask, record.node.as_str()));
        records.nodes.extend(nodes.cloned());
        let targets = view.targets(scope);
        let targets = targets.filter(|record| mask_contains(mask, record.target.as_str()));
        records.targets.extend(targets.cloned());
    }

    /// Bounds the size of a message; records that are left out follow in a later sync.
    fn truncate_records(&self, records: &mut SyncRecordsBody) {
        records.nodes.truncate(self.settings.max_sync_records);
        records.targets.truncate(self.settings.max_sync_records);
    }

    /// Records of the wanted parts, without those that the peer sent in the same form.
    fn collect_answer(&self, request: &SyncRecordsBody, scope: SyncScope) -> SyncRecordsBody {
        let mut answer = empty_records(request.sequence);
        for wanted in &request.wanted {
            if let Some(view) = self.view.domain(&wanted.domain) {
                self.add_records(&mut answer, view, wanted.mask, scope);
            }
        }
        let nodes: BTreeMap<&NodeName, &NodeRecord> = request
            .nodes
            .iter()
            .map(|record| (&record.node, record))
            .collect();
        let reported = |record: &NodeRecord| nodes.get(&record.node) == Some(&record);
        answer.nodes.retain(|record| !reported(record));
        let targets: BTreeMap<&TargetName, &TargetRecord> = request
            .targets
            .iter()
            .map(|record| (&record.target, record))
            .collect();
        let reported = |record: &TargetRecord| targets.get(&record.target) == Some(&record);
        answer.targets.retain(|record| !reported(record));
        self.add_corrections(&mut answer, request);
        self.truncate_records(&mut answer);
        answer
    }

    /// Adds newer records of targets that are no longer exported: a domain that was cut off while a
    /// target recovered would not learn of the recovery otherwise.
    fn add_corrections(&self, answer: &mut SyncRecordsBody, request: &SyncRecordsBody) {
        for reported in &request.targets {
            let view = self.view.domain(&reported.domain);
            let held = view.and_then(|view| view.target(&reported.target));
            let Some(held) = held.filter(|held| !held.exported) else {
                continue;
            };
            let newer =
                merge_targets(&held.record, reported) == held.record && held.record != *reported;
            if newer && !answer.targets.contains(&held.record) {
                answer.targets.push(held.record.clone());
            }
        }
    }

    /// Counts the received records that differ from the held ones.
    fn count_changed_records(&self, records: &SyncRecordsBody) -> usize {
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

/// Bit mask of the parts whose digests differ.
fn differing_parts(held: &[u64; PART_COUNT], reported: &[u64]) -> u16 {
    let mut mask = 0;
    for (index, part) in held.iter().enumerate() {
        if reported.get(index) != Some(part) {
            mask |= 1 << index;
        }
    }
    mask
}

fn mask_contains(mask: u16, name: &str) -> bool {
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
