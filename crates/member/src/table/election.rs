use base::{ClockTime, DomainName, NodeName, TargetName, rank_owners};

use super::MemberTable;

impl MemberTable {
    /// Live nodes of a domain, sorted by name.
    ///
    /// A suspected node counts as live, so that a short silence does not change who is elected.
    pub fn live_nodes(&self, domain: &DomainName) -> Vec<NodeName> {
        let Some(view) = self.view.domain(domain) else {
            return Vec::new();
        };
        let live = view.nodes().iter().filter(|entry| entry.is_live());
        live.map(|entry| entry.record.node.clone()).collect()
    }

    /// Nodes of a domain that read the platform's lists: the first `count` live nodes by rendezvous
    /// hashing.
    pub fn elect_platform_readers(&self, domain: &DomainName, count: usize) -> Vec<NodeName> {
        self.elect(&format!("reader/{domain}"), domain, count)
    }

    /// Node that grants admission to a target. Nodes with different views may elect different
    /// issuers, so this is an optimisation and no guarantee.
    pub fn grant_issuer(&self, domain: &DomainName, target: &TargetName) -> Option<NodeName> {
        self.elect(&format!("grant/{target}"), domain, 1).pop()
    }

    /// Node that reconciles a target and gives it orders.
    pub fn order_owner(&self, domain: &DomainName, target: &TargetName) -> Option<NodeName> {
        self.elect(&format!("order/{target}"), domain, 1).pop()
    }

    /// Bridge nodes of a domain, which exchange summaries with other domains; the first one
    /// advances the sequence of the domain's summary.
    pub fn bridges(&self, domain: &DomainName) -> Vec<NodeName> {
        self.elect(
            &format!("bridge/{domain}"),
            domain,
            self.settings.bridge_count,
        )
    }

    /// Updates this node's rank among the bridges of its domain. A node that becomes a bridge
    /// restarts the timeout after which other domains count as lost.
    pub(super) fn elect_bridges(&mut self, now: ClockTime) {
        let bridges = self.bridges(&self.settings.domain);
        let rank = bridges.iter().position(|node| *node == self.settings.node);
        if self.bridge_rank.is_none() && rank.is_some() {
            for view in self.view.domains_mut() {
                view.sequence_advanced_at = now;
            }
        }
        self.bridge_rank = rank;
    }

    /// First `count` live nodes of a domain by rendezvous hashing of `key`.
    fn elect(&self, key: &str, domain: &DomainName, count: usize) -> Vec<NodeName> {
        let live = self.live_nodes(domain);
        let ranked = rank_owners(key, live.iter().map(NodeName::as_str));
        let chosen = ranked.into_iter().take(count);
        chosen.filter_map(|name| find_name(&live, name)).collect()
    }
}

fn find_name(names: &[NodeName], name: &str) -> Option<NodeName> {
    let index = names
        .binary_search_by(|known| known.as_str().cmp(name))
        .ok()?;
    Some(names[index].clone())
}
