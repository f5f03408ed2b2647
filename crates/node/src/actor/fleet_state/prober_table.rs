use std::collections::BTreeMap;

use base::{NodeName, TargetName};

/// Nodes of a domain that probe the same target, so that one may fail unnoticed for a while.
pub const PROBERS: usize = 2;

/// Who probes which target, by rendezvous over the live nodes; ranked once until those change.
#[derive(Debug, Default)]
pub struct ProberTable {
    live: Vec<NodeName>,
    ranked: BTreeMap<TargetName, Vec<NodeName>>,
}

impl ProberTable {
    /// Takes the live nodes of the domain.
    pub fn set_live(&mut self, live: Vec<NodeName>) {
        if self.live != live {
            self.live = live;
            self.ranked.clear();
        }
    }

    /// Live nodes of the domain.
    pub fn live(&self) -> &[NodeName] {
        &self.live
    }

    /// Ranks the nodes for these targets and forgets all other targets.
    pub fn rank_all<'a>(&mut self, targets: impl Iterator<Item = &'a TargetName>) {
        let mut old = std::mem::take(&mut self.ranked);
        for target in targets {
            let probers = match old.remove(target) {
                Some(probers) => probers,
                None => self.rank(target),
            };
            self.ranked.insert(target.clone(), probers);
        }
    }

    /// Probers of a target, the first one first; none for a target that was not ranked.
    pub fn probers(&self, target: &TargetName) -> &[NodeName] {
        self.ranked.get(target).map_or(&[], Vec::as_slice)
    }

    fn rank(&self, target: &TargetName) -> Vec<NodeName> {
        let key = format!("probe/{target}");
        let ranked = base::rank_owners(&key, self.live.iter().map(NodeName::as_str));
        let names = ranked.into_iter().take(PROBERS);
        names.filter_map(|name| name.parse().ok()).collect()
    }
}
