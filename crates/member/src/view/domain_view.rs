use base::{ClockTime, DomainName, NodeName, RevisionNumber, TargetName};
use schema::member::{DomainRecord, NodeRecord, TargetRecord};

use super::{NodeEntry, SyncScope, TargetEntry};
use crate::record::{PART_COUNT, digest_node, digest_target, part_of};

/// Node and target records of one failure domain, sorted by name, with a digest of each part of
/// them.
#[derive(Clone, Debug)]
pub(crate) struct DomainView {
    pub(crate) record: DomainRecord,
    /// When the sequence of the domain's summary last rose; a domain is lost if it does not rise
    /// for long.
    pub(crate) sequence_advanced_at: ClockTime,
    nodes: Vec<NodeEntry>,
    targets: Vec<TargetEntry>,
    part_digests: [u64; PART_COUNT],
    exported_part_digests: [u64; PART_COUNT],
}

impl DomainView {
    pub(crate) fn new(domain: DomainName, now: ClockTime) -> Self {
        let record = DomainRecord {
            domain,
            sequence: 0,
            lost: false,
            live: 0,
            digest: 0,
            revision: RevisionNumber::default(),
        };
        Self {
            record,
            sequence_advanced_at: now,
            nodes: Vec::new(),
            targets: Vec::new(),
            part_digests: [0; PART_COUNT],
            exported_part_digests: [0; PART_COUNT],
        }
    }

    pub(crate) fn name(&self) -> &DomainName {
        &self.record.domain
    }

    pub(crate) fn nodes(&self) -> &[NodeEntry] {
        &self.nodes
    }

    pub(crate) fn nodes_mut(&mut self) -> &mut [NodeEntry] {
        &mut self.nodes
    }

    /// Digests of the parts, over the records that are compared in this scope.
    pub(crate) fn part_digests(&self, scope: SyncScope) -> &[u64; PART_COUNT] {
        match scope {
            SyncScope::Full => &self.part_digests,
            SyncScope::Exported => &self.exported_part_digests,
        }
    }

    pub(crate) fn digest(&self, scope: SyncScope) -> u64 {
        let parts = self.part_digests(scope).iter();
        parts.fold(0, |sum, part| sum ^ part)
    }

    pub(crate) fn live_count(&self) -> u32 {
        self.nodes.iter().filter(|entry| entry.is_live()).count() as u32
    }

    pub(crate) fn node(&self, node: &NodeName) -> Option<&NodeEntry> {
        self.find_node(node).ok().map(|index| &self.nodes[index])
    }

    pub(crate) fn node_mut(&mut self, node: &NodeName) -> Option<&mut NodeEntry> {
        let index = self.find_node(node).ok()?;
        Some(&mut self.nodes[index])
    }

    pub(crate) fn add_node(&mut self, node: &NodeName) -> &mut NodeEntry {
        let index = match self.find_node(node) {
            Ok(index) => index,
            Err(index) => {
                self.nodes.insert(index, NodeEntry::new(node.clone()));
                index
            }
        };
        &mut self.nodes[index]
    }

    pub(crate) fn remove_node(&mut self, node: &NodeName) -> Option<NodeEntry> {
        let index = self.find_node(node).ok()?;
        let entry = self.nodes.remove(index);
        self.toggle_digest(node.as_str(), digest_node(&entry.record));
        Some(entry)
    }

    /// Replaces the record of a known node and updates the digests.
    pub(crate) fn set_node(&mut self, record: NodeRecord) {
        let Ok(index) = self.find_node(&record.node) else {
            return;
        };
        let change = digest_node(&self.nodes[index].record) ^ digest_node(&record);
        self.toggle_digest(record.node.as_str(), change);
        self.nodes[index].record = record;
    }

    pub(crate) fn targets(&self, scope: SyncScope) -> impl Iterator<Item = &TargetRecord> {
        let targets = self.targets.iter().filter(move |entry| entry.is_in(scope));
        targets.map(|entry| &entry.record)
    }

    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }

    pub(crate) fn target(&self, target: &TargetName) -> Option<&TargetEntry> {
        let index = self.find_target(target).ok()?;
        Some(&self.targets[index])
    }

    /// Adds or replaces the record of a target and updates the digests.
    pub(crate) fn set_target(&mut self, now: ClockTime, record: TargetRecord) {
        match self.find_target(&record.target) {
            Ok(index) => {
                self.toggle_target_digest(index);
                self.targets[index].update(now, record);
                self.toggle_target_digest(index);
            }
            Err(index) => {
                self.targets.insert(index, TargetEntry::new(now, record));
                self.toggle_target_digest(index);
            }
        }
    }

    /// Removes the targets that are not in `keep`, which must be sorted.
    pub(crate) fn retain_targets(&mut self, keep: &[TargetName]) {
        for index in (0..self.targets.len()).rev() {
            if keep
                .binary_search(&self.targets[index].record.target)
                .is_err()
            {
                self.toggle_target_digest(index);
                self.targets.remove(index);
            }
        }
    }

    /// Stops reporting recovered targets to other domains once the notice period is over. In a view
    /// of another domain (`own` is false) their records are removed.
    pub(crate) fn expire_targets(&mut self, now: ClockTime, own: bool) {
        for index in (0..self.targets.len()).rev() {
            if !self.targets[index].is_recovery_notice_over(now) {
                continue;
            }
            self.toggle_target_digest(index);
            if !own {
                self.targets.remove(index);
                continue;
            }
            self.targets[index].exported = false;
            self.toggle_target_digest(index);
        }
    }

    /// Adds the digest of a target to its part, or removes it: XOR does both.
    fn toggle_target_digest(&mut self, index: usize) {
        let entry = &self.targets[index];
        let part = part_of(entry.record.target.as_str());
        let digest = digest_target(&entry.record);
        self.part_digests[part] ^= digest;
        if entry.exported {
            self.exported_part_digests[part] ^= digest;
        }
    }

    /// Adds a digest to the part of a name, or removes it: XOR does both.
    fn toggle_digest(&mut self, name: &str, digest: u64) {
        let part = part_of(name);
        self.part_digests[part] ^= digest;
        self.exported_part_digests[part] ^= digest;
    }

    fn find_node(&self, node: &NodeName) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|entry| entry.record.node.cmp(node))
    }

    fn find_target(&self, target: &TargetName) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|entry| entry.record.target.cmp(target))
    }
}
