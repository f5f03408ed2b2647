use base::{ClockTime, DomainName, NodeName, TimeSpan};
use rand::Rng;
use rand::seq::IteratorRandom;
use schema::fleet::RevisionDigest;

use super::{FleetPeer, RevisionStamp};

/// Most peers kept. Membership lists the nodes of one domain and a few nodes of other domains.
const PEER_LIMIT: usize = 1_024;

/// What is known about one peer.
#[derive(Clone, Debug)]
pub struct PeerEntry {
    pub node: NodeName,
    /// Whether the peer is in the domain of this node.
    pub is_local: bool,
    /// Revision in effect at the peer, by its latest digest.
    pub accepted: Option<RevisionStamp>,
    /// Newer revision that the peer rejected, by its latest digest.
    pub rejected: Option<RevisionStamp>,
    /// When the latest digest of the peer arrived.
    pub digest_at: Option<ClockTime>,
    /// When this node last sent its digest because the peer was behind.
    pub reminded_at: Option<ClockTime>,
    /// No pull is sent before this time, since an earlier one failed.
    pub avoid_until: ClockTime,
}

/// The peers that membership lists, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    entries: Vec<PeerEntry>,
}

impl PeerTable {
    /// Replaces the list of peers and keeps what is known about those that are still listed.
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

    /// Records a digest; a sender that is not listed is added until the next `set_peers`.
    pub fn record_digest(&mut self, now: ClockTime, from: &NodeName, digest: &RevisionDigest) {
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
        entry.digest_at = Some(now);
    }

    /// Sends no pulls to `peer` until `until`.
    pub fn avoid_until(&mut self, peer: &NodeName, until: ClockTime) {
        if let Ok(at) = self.find(peer) {
            self.entries[at].avoid_until = until;
        }
    }

    /// Forgets when digests arrived and which peers to avoid, as needed after a pause.
    pub fn forget_digests(&mut self) {
        for entry in &mut self.entries {
            entry.digest_at = None;
            entry.avoid_until = ClockTime::ZERO;
        }
    }

    /// Returns whether a digest arrived within the last `span`.
    pub fn has_digest_within(&self, now: ClockTime, span: TimeSpan) -> bool {
        let mut times = self.entries.iter().filter_map(|entry| entry.digest_at);
        times.any(|at| now - at <= span)
    }

    /// Returns whether a digest arrived since `start`.
    pub fn has_digest_since(&self, start: ClockTime) -> bool {
        let mut times = self.entries.iter().filter_map(|entry| entry.digest_at);
        times.any(|at| at >= start)
    }

    /// Records a reminder to `peer` and returns true if the last one is at least `interval` ago.
    pub fn start_reminder(&mut self, now: ClockTime, peer: &NodeName, interval: TimeSpan) -> bool {
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

    /// Returns the peer with the newest revision after `floor`, preferring peers of the own domain.
    ///
    /// Peers to avoid and revisions in `rejected_stamps` are left out.
    pub fn choose_newest(
        &self,
        now: ClockTime,
        floor: Option<RevisionStamp>,
        rejected_stamps: &[RevisionStamp],
        rng: &mut impl Rng,
    ) -> Option<(NodeName, RevisionStamp)> {
        let usable = |entry: &&PeerEntry| is_pull_candidate(entry, now, floor, rejected_stamps);
        let rank = |entry: &PeerEntry| (entry.accepted, entry.is_local);
        let best = self.entries.iter().filter(usable).map(rank).max()?;
        let equal = self.entries.iter().filter(usable);
        let chosen = equal.filter(|entry| rank(entry) == best).choose(rng)?;
        Some((chosen.node.clone(), chosen.accepted?))
    }

    /// Returns random peers not known to have `stamp`: up to `local` of the own domain and up to
    /// `remote` of other domains.
    pub fn choose_behind(
        &self,
        stamp: RevisionStamp,
        local: usize,
        remote: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeName> {
        let mut pick = |is_local: bool, count: usize| {
            let entries = self.entries.iter().filter(|entry| {
                entry.is_local == is_local && entry.accepted.is_none_or(|known| known < stamp)
            });
            entries.choose_multiple(rng, count)
        };
        let mut chosen = pick(true, local);
        chosen.extend(pick(false, remote));
        chosen.into_iter().map(|entry| entry.node.clone()).collect()
    }

    /// Returns up to `count` random peers without a digest since `start`, those of the own domain
    /// first.
    pub fn choose_silent(
        &self,
        now: ClockTime,
        start: ClockTime,
        count: usize,
        rng: &mut impl Rng,
    ) -> Vec<NodeName> {
        let silent = |entry: &&PeerEntry| {
            entry.digest_at.is_none_or(|at| at < start) && entry.avoid_until <= now
        };
        let entries = self.entries.iter().filter(silent);
        let local_entries = entries.clone().filter(|entry| entry.is_local);
        let mut chosen = local_entries.choose_multiple(rng, count);
        let remote_entries = entries.filter(|entry| !entry.is_local);
        chosen.extend(remote_entries.choose_multiple(rng, count - chosen.len()));
        chosen.into_iter().map(|entry| entry.node.clone()).collect()
    }

    /// Returns whether a peer that may be asked has a revision newer than `floor` that is not in
    /// `rejected_stamps`.
    pub fn has_pull_candidate(
        &self,
        now: ClockTime,
        floor: Option<RevisionStamp>,
        rejected_stamps: &[RevisionStamp],
    ) -> bool {
        let mut entries = self.entries.iter();
        entries.any(|entry| is_pull_candidate(entry, now, floor, rejected_stamps))
    }

    /// Returns the newest revision after `floor` that a peer rejected, and that peer.
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

fn is_pull_candidate(
    entry: &PeerEntry,
    now: ClockTime,
    floor: Option<RevisionStamp>,
    rejected_stamps: &[RevisionStamp],
) -> bool {
    let is_rejected = |stamp| rejected_stamps.contains(&stamp);
    entry.accepted > floor && entry.avoid_until <= now && !entry.accepted.is_some_and(is_rejected)
}

fn new_entry(node: NodeName) -> PeerEntry {
    PeerEntry {
        node,
        is_local: false,
        accepted: None,
        rejected: None,
        digest_at: None,
        reminded_at: None,
        avoid_until: ClockTime::ZERO,
    }
}
