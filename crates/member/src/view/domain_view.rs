use base::{ClockTime, DomainName, NodeName, RevisionNumber, TargetName};
use schema::member::{DomainRecord, NodeRecord, TargetRecord};

use super::{NodeEntry, TableScope, TargetEntry};
use crate::record::{PART_COUNT, digest_node, digest_target, part_of};

/// Records of one failure domain, sorted by name, with digests of their parts.
#[derive(Clone, Debug)]
pub(crate) struct DomainView {
    pub(crate) record: DomainRecord,
    pub(crate) advanced_at: ClockTime,
    nodes: Vec<NodeEntry>,
    targets: Vec<TargetEntry>,
    parts: [u64; PART_COUNT],
    public_parts: [u64; PART_COUNT],
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
            advanced_at: now,
            nodes: Vec::new(),
            targets: Vec::new(),
            parts: [0; PART_COUNT],
            public_parts: [0; PART_COUNT],
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

    pub(crate) fn parts(&self, scope: TableScope) -> &[u64; PART_COUNT] {
        match scope {
            TableScope::Full => &self.parts,
            TableScope::Public => &self.public_parts,
        }
    }

    pub(crate) fn digest(&self, scope: TableScope) -> u64 {
        let parts = self.parts(scope).iter();
        parts.fold(0, |sum, part| sum ^ part)
    }

    pub(crate) fn live_count(&self) -> u32 {
        self.nodes.iter().filter(|entry| entry.is_live()).count() as u32
    }

    pub(crate) fn node(&self, node: &NodeName) -> Option<&NodeEntry> {
        self.find_node(node).ok().map(|place| &self.nodes[place])
    }

    pub(crate) fn node_mut(&mut self, node: &NodeName) -> Option<&mut NodeEntry> {
        let place = self.find_node(node).ok()?;
        Some(&mut self.nodes[place])
    }

    pub(crate) fn add_node(&mut self, node: &NodeName) -> &mut NodeEntry {
        let place = match self.find_node(node) {
            Ok(place) => place,
            Err(place) => {
                self.nodes.insert(place, NodeEntry::new(node.clone()));
                place
            }
        };
        &mut self.nodes[place]
    }

    pub(crate) fn remove_node(&mut self, node: &NodeName) -> Option<NodeEntry> {
        let place = self.find_node(node).ok()?;
        let entry = self.nodes.remove(place);
        self.flip_part(node.as_str(), digest_node(&entry.record));
        Some(entry)
    }

    /// Replaces the record of a known node.
    pub(crate) fn set_node(&mut self, record: NodeRecord) {
        let Ok(place) = self.find_node(&record.node) else {
            return;
        };
        let change = digest_node(&self.nodes[place].record) ^ digest_node(&record);
        self.flip_part(record.node.as_str(), change);
        self.nodes[place].record = record;
    }

    pub(crate) fn targets(&self, scope: TableScope) -> impl Iterator<Item = &TargetRecord> {
        let targets = self.targets.iter().filter(move |entry| entry.is_in(scope));
        targets.map(|entry| &entry.record)
    }

    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }

    pub(crate) fn target(&self, target: &TargetName) -> Option<&TargetEntry> {
        let place = self.find_target(target).ok()?;
        Some(&self.targets[place])
    }

    /// Adds or replaces the record of a target.
    pub(crate) fn set_target(&mut self, now: ClockTime, record: TargetRecord) {
        match self.find_target(&record.target) {
            Ok(place) => {
                self.flip_target(place);
                self.targets[place].change(now, record);
                self.flip_target(place);
            }
            Err(place) => {
                self.targets.insert(place, TargetEntry::new(now, record));
                self.flip_target(place);
            }
        }
    }

    /// Drops the targets that are not in `keep`, which is sorted.
    pub(crate) fn retain_targets(&mut self, keep: &[TargetName]) {
        for place in (0..self.targets.len()).rev() {
            if keep
                .binary_search(&self.targets[place].record.target)
                .is_err()
            {
                self.flip_target(place);
                self.targets.remove(place);
            }
        }
    }

    /// Stops telling other domains of targets that have been well for a while; what was learned
    /// from another domain is forgotten then.
    pub(crate) fn expire_targets(&mut self, now: ClockTime, own: bool) {
        for place in (0..self.targets.len()).rev() {
            if !self.targets[place].has_recovered(now) {
                continue;
            }
            self.flip_target(place);
            if !own {
                self.targets.remove(place);
                continue;
            }
            self.targets[place].public = false;
            self.flip_target(place);
        }
    }

    fn flip_target(&mut self, place: usize) {
        let entry = &self.targets[place];
        let part = part_of(entry.record.target.as_str());
        let digest = digest_target(&entry.record);
        self.parts[part] ^= digest;
        if entry.public {
            self.public_parts[part] ^= digest;
        }
    }

    fn flip_part(&mut self, name: &str, digest: u64) {
        let part = part_of(name);
        self.parts[part] ^= digest;
        self.public_parts[part] ^= digest;
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
