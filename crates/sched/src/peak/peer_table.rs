use std::collections::BTreeMap;

use base::{ClockTime, NodeName, TimeSpan};

use crate::{PeerDigest, TargetDigest, TargetTable};

/// The latest digest of one peer, with the slots of its targets.
#[derive(Debug)]
struct PeerState {
    sequence: u64,
    received_at: ClockTime,
    entries: Vec<(usize, TargetDigest)>,
}

/// The latest digest of each peer, each counted in the memory views of its targets.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeName, PeerState>,
}

impl PeerTable {
    /// Replaces the digest of a peer unless the present one is as new or newer.
    pub fn apply(&mut self, now: ClockTime, digest: PeerDigest, targets: &mut TargetTable) {
        let old = self.peers.get(&digest.node);
        if old.is_some_and(|old| old.sequence >= digest.sequence) {
            return;
        }
        self.remove(now, &digest.node, targets);
        let mut entries = Vec::with_capacity(digest.targets.len());
        for entry in digest.targets {
            let Some(slot) = targets.slot(&entry.target) else {
                continue;
            };
            targets
                .state_mut(slot)
                .view
                .update_peer(now, None, Some(&entry));
            entries.push((slot, entry));
        }
        let state = PeerState {
            sequence: digest.sequence,
            received_at: now,
            entries,
        };
        self.peers.insert(digest.node, state);
    }

    /// Number of peers whose digests are in use.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no digest is in use.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Removes digests that were received at least `max_age` ago.
    pub fn expire(&mut self, now: ClockTime, max_age: TimeSpan, targets: &mut TargetTable) {
        let is_expired = |state: &PeerState| now.since(state.received_at) >= max_age;
        let names: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, state)| is_expired(state))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.remove(now, &name, targets);
        }
    }

    /// Removes all digests; needed before slots are reassigned to other targets.
    pub fn clear(&mut self, now: ClockTime, targets: &mut TargetTable) {
        self.expire(now, TimeSpan::ZERO, targets);
    }

    /// Removes the digest of a peer and what it adds to the memory views.
    fn remove(&mut self, now: ClockTime, node: &NodeName, targets: &mut TargetTable) {
        let Some(state) = self.peers.remove(node) else {
            return;
        };
        for (slot, entry) in &state.entries {
            targets
                .state_mut(*slot)
                .view
                .update_peer(now, Some(entry), None);
        }
    }
}
