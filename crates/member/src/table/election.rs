use base::{ClockTime, DomainName, NodeName, TargetName, rank_owners};

use super::MemberTable;

impl MemberTable {
    /// Live nodes of a domain, sorted by name.
    ///
    /// A suspected node counts as live, so that a short silence moves no office.
    pub fn live_nodes(&self, domain: &DomainName) -> Vec<NodeName> {
        let Some(view) = self.view.domain(domain) else {
            return Vec::new();
        };
        let live = view.nodes().iter().filter(|entry| entry.is_live());
        live.map(|entry| entry.record.node.clone()).collect()
    }

    /// First `count` live nodes of a domain by rendezvous: they watch the platform.
    pub fn elect_readers(&self, domain: &DomainName, count: usize) -> Vec<NodeName> {
        self.elect(&format!("reader/{domain}"), domain, count)
    }

    /// Node that grants admission to a target; an optimisation, since views may differ.
    pub fn grant_holder(&self, domain: &DomainName, target: &TargetName) -> Option<NodeName> {
        self.elect(&format!("grant/{target}"), domain, 1).pop()
    }

    /// Node that reconciles a target and gives it orders.
    pub fn order_owner(&self, domain: &DomainName, target: &TargetName) -> Option<NodeName> {
        self.elect(&format!("order/{target}"), domain, 1).pop()
    }

    /// Live nodes of a domain that keep its links to other domains, the first one leading.
    pub fn bridges(&self, domain: &DomainName) -> Vec<NodeName> {
        self.elect(&format!("bridge/{domain}"), domain, self.settings.bridges)
    }

    /// Notes whether this node is a bridge now; a new one trusts the summaries for a while.
    pub(super) fn elect_bridges(&mut self, now: ClockTime) {
        let bridges = self.bridges(&self.settings.domain);
        let rank = bridges.iter().position(|node| *node == self.settings.node);
        if self.bridge_rank.is_none() && rank.is_some() {
            for view in self.view.domains_mut() {
                view.advanced_at = now;
            }
        }
        self.bridge_rank = rank;
    }

    fn elect(&self, key: &str, domain: &DomainName, count: usize) -> Vec<NodeName> {
        let live = self.live_nodes(domain);
        let ranked = rank_owners(key, live.iter().map(NodeName::as_str));
        let chosen = ranked.into_iter().take(count);
        chosen.filter_map(|name| find_name(&live, name)).collect()
    }
}

fn find_name(names: &[NodeName], name: &str) -> Option<NodeName> {
    let place = names
        .binary_search_by(|known| known.as_str().cmp(name))
        .ok()?;
    Some(names[place].clone())
}
