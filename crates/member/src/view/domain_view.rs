use base::{ClockTime, DomainName, NodeName, RevisionNumber, TargetName};
use schema::member::{DomainRecord, NodeRecord, TargetRecord};

use super::NodeEntry;
use crate::record::{PART_COUNT, digest_node, digest_target, part_of};

/// Records of one failure domain, sorted by name, with digests of their parts.
#[derive(Clone, Debug)]
pub(crate) struct DomainView {
    pub(crate) record: DomainRecord,
    pub(crate) advanced_at: ClockTime,
    nodes: Vec<NodeEntry>,
    targets: Vec<(TargetRecord, ClockTime)>,
    parts: [u64; PART_COUNT],
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

    pub(crate) fn parts(&self) -> &[u64; PART_COUNT] {
        &self.parts
    }

    pub(crate) fn digest(&self) -> u64 {
        self.parts.iter().fold(0, |sum, part| sum ^ part)
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
        self.parts[part_of(node.as_str())] ^= digest_node(&entry.record);
        Some(entry)
    }

    /// Replaces the record of a known node.
    pub(crate) fn set_node(&mut self, record: NodeRecord) {
        let Ok(place) = self.find_node(&record.node) else {
            return;
        };
        let part = &mut self.parts[part_of(record.node.as_str())];
        *part ^= digest_node(&self.nodes[place].record) ^ digest_node(&record);
        self.nodes[place].record = record;
    }

    pub(crate) fn targets(&self) -> impl Iterator<Item = &TargetRecord> {
        self.targets.iter().map(|(record, _)| record)
    }

    pub(crate) fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Record of a target and when this node first saw its run.
    pub(crate) fn target(&self, target: &TargetName) -> Option<&(TargetRecord, ClockTime)> {
        self.find_target(target)
            .ok()
            .map(|place| &self.targets[place])
    }

    /// Adds or replaces the record of a target.
    pub(crate) fn set_target(&mut self, now: ClockTime, record: TargetRecord) {
        let part = &mut self.parts[part_of(record.target.as_str())];
        *part ^= digest_target(&record);
        let found = self
            .targets
            .binary_search_by(|(old, _)| old.target.cmp(&record.target));
        let place = match found {
            Ok(place) => place,
            Err(place) => return self.targets.insert(place, (record, now)),
        };
        let (old, since) = &mut self.targets[place];
        *part ^= digest_target(old);
        if old.incarnation != record.incarnation {
            *since = now;
        }
        *old = record;
    }

    /// Drops the targets that are not in `keep`, which is sorted.
    pub(crate) fn retain_targets(&mut self, keep: &[TargetName]) {
        let parts = &mut self.parts;
        self.targets.retain(|(record, _)| {
            let kept = keep.binary_search(&record.target).is_ok();
            if !kept {
                parts[part_of(record.target.as_str())] ^= digest_target(record);
            }
            kept
        });
    }

    fn find_node(&self, node: &NodeName) -> Result<usize, usize> {
        self.nodes
            .binary_search_by(|entry| entry.record.node.cmp(node))
    }

    fn find_target(&self, target: &TargetName) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|(record, _)| record.target.cmp(target))
    }
}
