use base::{ClockTime, DomainName, NodeName, TimeSpan};
use rand::Rng;
use rand::seq::IteratorRandom;
use schema::fleet::RevisionDigest;

use super::{FleetPeer, RevisionStamp};

/// Most peers kept; membership lists one domain and a few links to others.
const PEER_LIMIT: usize = 1_024;

/// What is known about one peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    pub node: NodeName,
    pub is_local: bool,
    pub accepted: Option<RevisionStamp>,
    pub rejected: Option<RevisionStamp>,
    pub heard_at: Option<ClockTime>,
    pub reminded_at: Option<ClockTime>,
    /// Not asked before this time after a failed pull.
    pub avoid_until: ClockTime,
}

/// The peers that membership lists, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    entries: Vec<PeerEntry>,
}

impl PeerTable {
    /// Replaces the list and keeps what is known about the peers that stay.
    pub fn set_peers(&mut self, own: &NodeName, domain: &DomainName, peers: &[FleetPeer]) {
        let old = std::mem::take(&mut self.entries);
        let mut listed: Vec<&FleetPeer> = peers.iter().filter(|peer| peer.node != *own).collect();
        listed.sort_unstable();
        listed.dedup_by(|next, kept| next.node == kept.node);
        listed.truncate(PEER_LIMIT);
        for peer in listed {
            let known = old.binary_search_by(|entry| entry.node.cmp(&peer.node));
            let mut entry = match known {
                Ok(at) => old[at].clone(),
                Err(_) => new_entry(peer.node.clone()),
            };
            entry.is_local = peer.domain == *domain;
            self.entries.push(entry);
        }
    }

    /// Notes a digest; a sender that is not listed yet is added until the next list.
    pub fn note_digest(&mut self, now: ClockTime, from: &NodeName, digest: &RevisionDigest) {
        let at = match self.find(from) {
            Ok(at) => at,
            Err(_) if self.entries.len() == PEER_LIMIT => return,
            Err(at) => {
                self.entries.insert(at, new_entry(from.clone()));
                at
            }
        };
        let entry = &mut self.entries[at];
        entry.accepted = digest.accepted.as_ref().map(RevisionStamp::from);
        entry.rejected = digest.rejected.as_ref().map(RevisionStamp::from);
        entry.heard_at = Some(now);
    }

    /// Leaves `peer` alone until `until`.
    pub fn avoid(&mut self, peer: &NodeName, until: ClockTime) {
        if let Ok(at) = self.find(peer) {
            self.entries[at].avoid_until = until;
        }
    }

    /// Forgets which digests were heard, as after a pause.
    pub fn forget_digests(&mut self) {
        for entry in &mut self.entries {
            entry.heard_at = None;
            entry.avoid_until = ClockTime::ZERO;
        }
    }

    /// Tells whether a digest came within `span`.
    pub fn heard_within(&self, now: ClockTime, span: TimeSpan) -> bool {
        let mut times = self.entries.iter().filter_map(|entry| entry.heard_at);
        times.any(|heard| now - heard <= span)
    }

    /// Tells whether a digest came since `start`.
    pub fn heard_since(&self, start: ClockTime) -> bool {
        let mut times = self.entries.iter().filter_map(|entry| entry.heard_at);
        times.any(|heard| heard >= start)
    }

    /// Notes a reminder to `peer` and tells whether one is due.
    pub fn remind(&mut self, now: ClockTime, peer: &NodeName, interval: TimeSpan) -> bool {
        let Ok(at) = self.find(peer) else {
            return false;
        };
        let entry = &mut self.entries[at];
        if entry.reminded_at.is_some_and(|last| now - last < interval) {
            return false;
        }
        entry.reminded_at = Some(now);
        true
    }

    /// The peer with the newest revision after `floor`, a local one if several have it.
    pub fn newest_after(
        &self,
        now: ClockTime,
        floor: Option<RevisionStamp>,
        refused: &[RevisionStamp],
        rng: &mut impl Rng,
    ) -> Option<(NodeName, RevisionStamp)> {
        let usable = |entry: &&PeerEntry| is_newer(entry, now, floor, refused);
        let rank = |entry: &PeerEntry| (entry.accepted, entry.is_local);
        let best = self.entries.iter().filter(usable).map(rank).max()?;
        let equal = self.entries.iter().filter(usable);
        let chosen = equal.filter(|entry| rank(entry) == best).choose(rng)?;
        Some((chosen.node.clone(), chosen.accepted?))
    }

    /// Up to `near` local and `far` other peers not known to have `stamp`, at random.
    pub fn behind(
        &self,
        stamp: RevisionStamp,
        near: usize,
        far: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeName> {
        let mut pick = |is_local: bool, count: usize| {
            let entries = self.entries.iter().filter(|entry| {
                entry.is_local == is_local && entry.accepted.is_none_or(|known| known < stamp)
            });
            entries.choose_multiple(rng, count)
        };
        let mut chosen = pick(true, near);
        chosen.extend(pick(false, far));
        chosen.into_iter().map(|entry| entry.node.clone()).collect()
    }

    /// Up to `count` peers not heard since `start`, local ones first.
    pub fn unheard(
        &self,
        now: ClockTime,
        start: ClockTime,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeName> {
        let unheard = |entry: &&PeerEntry| {
            entry.heard_at.is_none_or(|heard| heard < start) && entry.avoid_until <= now
        };
        let entries = self.entries.iter().filter(unheard);
        let local = entries.clone().filter(|entry| entry.is_local);
        let mut chosen = local.choose_multiple(rng, count);
        let far = entries.filter(|entry| !entry.is_local);
        chosen.extend(far.choose_multiple(rng, count - chosen.len()));
        chosen.into_iter().map(|entry| entry.node.clone()).collect()
    }

    /// Whether a peer that can be asked has a newer revision than `floor`.
    pub fn has_newer(
        &self,
        now: ClockTime,
        floor: Option<RevisionStamp>,
        refused: &[RevisionStamp],
    ) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| is_newer(entry, now, floor, refused))
    }

    /// Newest revision after `floor` that a peer rejected.
    pub fn newest_rejected(
        &self,
        floor: Option<RevisionStamp>,
    ) -> Option<(NodeName, RevisionStamp)> {
        let rejected = self.entries.iter().filter(|entry| entry.rejected > floor);
        let newest = rejected.max_by_key(|entry| entry.rejected)?;
        Some((newest.node.clone(), newest.rejected?))
    }

    fn find(&self, node: &NodeName) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.node.cmp(node))
    }
}

fn is_newer(
    entry: &PeerEntry,
    now: ClockTime,
    floor: Option<RevisionStamp>,
    refused: &[RevisionStamp],
) -> bool {
    let is_known = |stamp| refused.contains(&stamp);
    entry.accepted > floor && entry.avoid_until <= now && !entry.accepted.is_some_and(is_known)
}

fn new_entry(node: NodeName) -> PeerEntry {
    PeerEntry {
        node,
        is_local: false,
        accepted: None,
        rejected: None,
        heard_at: None,
        reminded_at: None,
        avoid_until: ClockTime::ZERO,
    }
}
