use std::collections::BTreeMap;

use base::{NodeName, TargetName};

/// Nodes of a domain that probe the same target. Two, so that probes go on while the failure of
/// one of them has not been noticed yet.
pub const PROBERS_PER_TARGET: usize = 2;

/// Assigns probers to targets by rendezvous hashing over the live nodes of the domain. The ranking
/// of a target is cached until the live nodes change.
#[derive(Debug, Default)]
pub struct ProberTable {
    live: Vec<NodeName>,
    ranked: BTreeMap<TargetName, Vec<NodeName>>,
}

impl ProberTable {
    /// Sets the live nodes of the domain; clears the cached rankings if they have changed.
    pub fn set_live(&mut self, live: Vec<NodeName>) {
        if self.live != live {
            self.live = live;
            self.ranked.clear();
        }
    }

    /// Returns the live nodes of the domain.
    pub fn live(&self) -> &[NodeName] {
        &self.live
    }

    /// Ranks the nodes for these targets and drops the rankings of all other targets.
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

    /// Returns the probers of a target in order of rank; none for a target that was not ranked.
    pub fn probers(&self, target: &TargetName) -> &[NodeName] {
        self.ranked.get(target).map_or(&[], Vec::as_slice)
    }

    fn rank(&self, target: &TargetName) -> Vec<NodeName> {
        let key = format!("probe/{target}");
        let ranked = base::rank_owners(&key, self.live.iter().map(NodeName::as_str));
        let names = ranked.into_iter().take(PROBERS_PER_TARGET);
        names.filter_map(|name| name.parse().ok()).collect()
    }
}
