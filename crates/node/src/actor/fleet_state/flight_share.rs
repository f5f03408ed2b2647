use std::collections::BTreeMap;

use base::{ClockTime, NodeName, TargetName, TimeSpan};
use sched::TargetDigest;

/// Age at which the figures of a peer count as outdated, as they do in the policy.
const FLIGHT_EXPIRY: TimeSpan = TimeSpan::from_secs(4);

/// Work in flight of a domain, summed up by the node that probes a target first.
///
/// In a large domain a node tells each peer its own work only at the targets that this peer
/// probes, and the sum of all others' work at the targets that it probes itself. The bytes of a
/// node then grow with the targets of the domain, and not with targets times nodes.
///
/// ```
/// let mut share = node::FlightShare::new();
/// share.set_own(Vec::new());
/// let peer = "balaju-2".parse().unwrap();
/// let told = share.entries_for(base::ClockTime::ZERO, &peer, |_| None);
/// assert!(told.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct FlightShare {
    own: Vec<TargetDigest>,
    peers: BTreeMap<NodeName, (ClockTime, Vec<TargetDigest>)>,
}

impl FlightShare {
    /// Creates a share without any work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the own work in flight, sorted by target.
    pub fn set_own(&mut self, targets: Vec<TargetDigest>) {
        self.own = targets;
    }

    /// The own work in flight.
    pub fn own(&self) -> &[TargetDigest] {
        &self.own
    }

    /// Takes what a peer told, of which only the work at targets of this node is kept.
    pub fn take_peer(&mut self, now: ClockTime, peer: NodeName, targets: Vec<TargetDigest>) {
        self.peers.insert(peer, (now, targets));
    }

    /// What `peer` is told; `owner` tells who sums up a target: `Some(true)` for this node,
    /// `Some(false)` for `peer`, `None` for others.
    pub fn entries_for(
        &mut self,
        now: ClockTime,
        peer: &NodeName,
        owner: impl Fn(&TargetName) -> Option<bool>,
    ) -> Vec<TargetDigest> {
        self.peers
            .retain(|_, (taken, _)| now.since(*taken) < FLIGHT_EXPIRY);
        let others = self.peers.iter().filter(|(name, _)| *name != peer);
        let others = others.flat_map(|(_, (_, targets))| targets);
        let summed = self
            .own
            .iter()
            .chain(others)
            .filter(|entry| owner(&entry.target) == Some(true));
        let told = self
            .own
            .iter()
            .filter(|entry| owner(&entry.target) == Some(false));
        let mut sums: BTreeMap<TargetName, TargetDigest> = BTreeMap::new();
        for entry in summed.chain(told) {
            match sums.get_mut(&entry.target) {
                Some(sum) => add(sum, entry),
                None => {
                    sums.insert(entry.target.clone(), entry.clone());
                }
            }
        }
        sums.into_values().collect()
    }
}

fn add(sum: &mut TargetDigest, entry: &TargetDigest) {
    sum.in_flight = sum.in_flight.saturating_add(entry.in_flight);
    sum.held_tokens = sum.held_tokens.saturating_add(entry.held_tokens);
    sum.peak_tokens = sum.peak_tokens.saturating_add(entry.peak_tokens);
}
