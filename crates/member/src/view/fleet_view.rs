use base::{ClockTime, DomainName, NodeName};
use schema::member::NodeRecord;

use super::{DomainView, NodeEntry, TableScope};
use crate::record::digest_lost;

/// Records of all domains, sorted by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    domains: Vec<DomainView>,
    places: Vec<(NodeName, DomainName)>,
}

impl FleetView {
    pub(crate) fn domains(&self) -> &[DomainView] {
        &self.domains
    }

    pub(crate) fn domains_mut(&mut self) -> &mut [DomainView] {
        &mut self.domains
    }

    pub(crate) fn domain(&self, domain: &DomainName) -> Option<&DomainView> {
        let place = self.find_domain(domain).ok()?;
        Some(&self.domains[place])
    }

    pub(crate) fn domain_mut(&mut self, domain: &DomainName) -> Option<&mut DomainView> {
        let place = self.find_domain(domain).ok()?;
        Some(&mut self.domains[place])
    }

    pub(crate) fn add_domain(&mut self, now: ClockTime, domain: &DomainName) -> &mut DomainView {
        let place = match self.find_domain(domain) {
            Ok(place) => place,
            Err(place) => {
                let view = DomainView::new(domain.clone(), now);
                self.domains.insert(place, view);
                place
            }
        };
        &mut self.domains[place]
    }

    /// Adds a node, or moves it if it was known in another domain.
    pub(crate) fn add_node(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        domain: &DomainName,
    ) -> &mut NodeEntry {
        if self.place(node).is_some_and(|old| old != domain) {
            self.remove_node(node);
        }
        if let Err(place) = self.find_place(node) {
            self.places.insert(place, (node.clone(), domain.clone()));
        }
        self.add_domain(now, domain).add_node(node)
    }

    pub(crate) fn remove_node(&mut self, node: &NodeName) -> Option<NodeEntry> {
        let place = self.find_place(node).ok()?;
        let (_, domain) = self.places.remove(place);
        self.domain_mut(&domain)?.remove_node(node)
    }

    /// Drops domains without nodes, except this node's own.
    pub(crate) fn prune(&mut self, own: &DomainName) {
        self.domains
            .retain(|view| view.name() == own || !view.nodes().is_empty());
    }

    /// Failure domain of a known node.
    pub(crate) fn place(&self, node: &NodeName) -> Option<&DomainName> {
        let place = self.find_place(node).ok()?;
        Some(&self.places[place].1)
    }

    pub(crate) fn node(&self, node: &NodeName) -> Option<&NodeEntry> {
        self.domain(self.place(node)?)?.node(node)
    }

    pub(crate) fn node_mut(&mut self, node: &NodeName) -> Option<&mut NodeEntry> {
        let domain = self.place(node)?.clone();
        self.domain_mut(&domain)?.node_mut(node)
    }

    pub(crate) fn set_node(&mut self, record: NodeRecord) {
        let Some(domain) = self.place(&record.node).cloned() else {
            return;
        };
        if let Some(view) = self.domain_mut(&domain) {
            view.set_node(record);
        }
    }

    /// Digest of all records.
    pub(crate) fn digest(&self) -> u64 {
        self.domains.iter().fold(0, |sum, view| {
            sum ^ view.digest(TableScope::Full) ^ digest_lost(&view.record)
        })
    }

    fn find_domain(&self, domain: &DomainName) -> Result<usize, usize> {
        self.domains
            .binary_search_by(|view| view.name().cmp(domain))
    }

    fn find_place(&self, node: &NodeName) -> Result<usize, usize> {
        self.places.binary_search_by(|(known, _)| known.cmp(node))
    }
}
