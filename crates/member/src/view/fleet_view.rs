use base::{ClockTime, DomainName, NodeName};
use schema::member::NodeRecord;

use super::{DomainView, NodeEntry, SyncScope};
use crate::record::digest_lost_domain;

/// Records of all domains, sorted by name, and an index from node to domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    domains: Vec<DomainView>,
    node_domains: Vec<(NodeName, DomainName)>,
}

impl FleetView {
    pub(crate) fn domains(&self) -> &[DomainView] {
        &self.domains
    }

    pub(crate) fn domains_mut(&mut self) -> &mut [DomainView] {
        &mut self.domains
    }

    pub(crate) fn domain(&self, domain: &DomainName) -> Option<&DomainView> {
        let index = self.find_domain(domain).ok()?;
        Some(&self.domains[index])
    }

    pub(crate) fn domain_mut(&mut self, domain: &DomainName) -> Option<&mut DomainView> {
        let index = self.find_domain(domain).ok()?;
        Some(&mut self.domains[index])
    }

    pub(crate) fn add_domain(&mut self, now: ClockTime, domain: &DomainName) -> &mut DomainView {
        let index = match self.find_domain(domain) {
            Ok(index) => index,
            Err(index) => {
                let view = DomainView::new(domain.clone(), now);
                self.domains.insert(index, view);
                index
            }
        };
        &mut self.domains[index]
    }

    /// Returns the entry of a node, which is added if it is unknown and moved if it was known in
    /// another domain.
    pub(crate) fn add_node(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        domain: &DomainName,
    ) -> &mut NodeEntry {
        if self.domain_of(node).is_some_and(|old| old != domain) {
            self.remove_node(node);
        }
        if let Err(index) = self.find_node(node) {
            self.node_domains
                .insert(index, (node.clone(), domain.clone()));
        }
        self.add_domain(now, domain).add_node(node)
    }

    pub(crate) fn remove_node(&mut self, node: &NodeName) -> Option<NodeEntry> {
        let index = self.find_node(node).ok()?;
        let (_, domain) = self.node_domains.remove(index);
        self.domain_mut(&domain)?.remove_node(node)
    }

    /// Removes domains without nodes, except this node's own.
    pub(crate) fn prune(&mut self, own: &DomainName) {
        self.domains
            .retain(|view| view.name() == own || !view.nodes().is_empty());
    }

    /// Failure domain of a known node.
    pub(crate) fn domain_of(&self, node: &NodeName) -> Option<&DomainName> {
        let index = self.find_node(node).ok()?;
        Some(&self.node_domains[index].1)
    }

    pub(crate) fn node(&self, node: &NodeName) -> Option<&NodeEntry> {
        self.domain(self.domain_of(node)?)?.node(node)
    }

    pub(crate) fn node_mut(&mut self, node: &NodeName) -> Option<&mut NodeEntry> {
        let domain = self.domain_of(node)?.clone();
        self.domain_mut(&domain)?.node_mut(node)
    }

    pub(crate) fn set_node(&mut self, record: NodeRecord) {
        let Some(domain) = self.domain_of(&record.node).cloned() else {
            return;
        };
        if let Some(view) = self.domain_mut(&domain) {
            view.set_node(record);
        }
    }

    /// Digest of all records; nodes with equal views have equal digests.
    pub(crate) fn digest(&self) -> u64 {
        self.domains.iter().fold(0, |sum, view| {
            sum ^ view.digest(SyncScope::Full) ^ digest_lost_domain(&view.record)
        })
    }

    fn find_domain(&self, domain: &DomainName) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|view| view.name().cmp(domain))
    }

    fn find_node(&self, node: &NodeName) -> Result<usize, usize> {
        self.node_domains
            .binary_search_by(|(known, _)| known.cmp(node))
    }
}
