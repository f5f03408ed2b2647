use std::collections::BTreeMap;

use base::{ClockTime, NodeName, TimeSpan};

use crate::{PeerDigest, TargetDigest, TargetTable};

#[derive(Debug)]
struct PeerState {
    sequence: u64,
    received_at: ClockTime,
    entries: Vec<(usize, TargetDigest)>,
}

/// Latest digests of the peers, applied to the targets.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeName, PeerState>,
}

impl PeerTable {
    /// Takes a digest unless a newer one of the peer was taken.
    pub fn take(&mut self, now: ClockTime, digest: PeerDigest, targets: &mut TargetTable) {
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
                .change_peer(now, None, Some(&entry));
            entries.push((slot, entry));
        }
        let state = PeerState {
            sequence: digest.sequence,
            received_at: now,
            entries,
        };
        self.peers.insert(digest.node, state);
    }

    /// Peers whose digests are in use.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no digest is in use.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Drops digests older than `expiry`.
    pub fn expire(&mut self, now: ClockTime, expiry: TimeSpan, targets: &mut TargetTable) {
        let old = |state: &PeerState| now.since(state.received_at) >= expiry;
        let names: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, state)| old(state))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.remove(now, &name, targets);
        }
    }

    /// Drops all digests, before slots get other numbers.
    pub fn clear(&mut self, now: ClockTime, targets: &mut TargetTable) {
        self.expire(now, TimeSpan::ZERO, targets);
    }

    fn remove(&mut self, now: ClockTime, node: &NodeName, targets: &mut TargetTable) {
        let Some(state) = self.peers.remove(node) else {
            return;
        };
        for (slot, entry) in &state.entries {
            targets
                .state_mut(*slot)
                .view
                .change_peer(now, Some(entry), None);
        }
    }
}
