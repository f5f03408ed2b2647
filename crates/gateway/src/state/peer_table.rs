use std::net::SocketAddr;

use base::{ClockTime, CoreShare, DomainName, NodeName, TimeSpan};

/// Time since a peer was heard in which it counts as alive; peers of other failure domains are
/// heard rarely in large fleets.
pub const ALIVE_WAIT: TimeSpan = TimeSpan::from_secs(20);
/// Time for which a peer counts in shares of budgets after it was last heard; a peer that is cut
/// off goes on using its share.
const SHARE_WAIT: TimeSpan = TimeSpan::from_secs(60);
/// Time after which a silent peer is forgotten.
const FORGET_WAIT: TimeSpan = TimeSpan::from_secs(120);
/// Time for which the word of a peer holds that its calls wait: digests are heard that often.
const WAITING_EXPIRY: TimeSpan = TimeSpan::from_secs(2);
/// Peers known at most.
const PEER_LIMIT: usize = 512;

/// What a peer says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFacts {
    /// Its address for peers.
    pub address: SocketAddr,
    /// The node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Processor that it may use.
    pub capacity: CoreShare,
    /// Whether calls wait there for engines.
    pub is_waiting: bool,
    /// Whether it is stopping.
    pub is_stopping: bool,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    facts: PeerFacts,
    heard_at: ClockTime,
}

/// Other nodes, as found through seeds and through one another.
#[derive(Debug, Default)]
pub struct PeerTable {
    own: Option<SocketAddr>,
    is_seed: bool,
    seeds: Vec<SocketAddr>,
    /// Sorted by address.
    peers: Vec<PeerEntry>,
    /// Addresses that peers named and that have not answered yet.
    hinted: Vec<SocketAddr>,
}

impl PeerTable {
    /// Creates a table of a node with its own address and seeds.
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        let mut table = Self {
            own: Some(own),
            ..Self::default()
        };
        table.set_seeds(seeds);
        table
    }

    /// Address of this node for peers.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own
    }

    /// Whether others find the fleet through this node.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Whether this node can find others.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Replaces the seeds; returns whether they changed.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) -> bool {
        let count = seeds.len();
        seeds.retain(|seed| Some(*seed) != self.own);
        // A node without seeds has nobody to wait for.
        self.is_seed = seeds.len() < count || seeds.is_empty();
        let changed = self.seeds != seeds;
        self.seeds = seeds;
        changed
    }

    /// Notes what a peer says of itself; returns whether it was not alive before.
    pub fn hear(&mut self, now: ClockTime, facts: PeerFacts) -> bool {
        self.hinted.retain(|known| *known != facts.address);
        let found = self.find(facts.address);
        let entry = PeerEntry {
            facts,
            heard_at: now,
        };
        match found {
            Ok(at) => {
                let was_alive = now.since(self.peers[at].heard_at) < ALIVE_WAIT;
                self.peers[at] = entry;
                !was_alive
            }
            Err(at) if self.peers.len() < PEER_LIMIT => {
                self.peers.insert(at, entry);
                true
            }
            Err(_) => false,
        }
    }

    /// Takes addresses that a peer knows.
    pub fn hint(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            let is_known = self.find(*address).is_ok() || self.hinted.contains(address);
            if !is_known && Some(*address) != self.own && self.hinted.len() < PEER_LIMIT {
                self.hinted.push(*address);
            }
        }
    }

    /// Addresses that peers named and that have not answered yet.
    pub fn hinted(&self) -> &[SocketAddr] {
        &self.hinted
    }

    /// Addresses of peers that are alive.
    pub fn alive(&self, now: ClockTime) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < ALIVE_WAIT);
        alive.map(|peer| peer.facts.address).collect()
    }

    /// Notes that a known peer was heard again, and whether its calls wait for engines.
    pub fn refresh(
        &mut self,
        now: ClockTime,
        address: SocketAddr,
        node: &NodeName,
        is_waiting: bool,
    ) {
        if let Ok(at) = self.find(address)
            && self.peers[at].facts.node == *node
        {
            self.peers[at].heard_at = now;
            self.peers[at].facts.is_waiting = is_waiting;
        }
    }

    /// Peers of a failure domain whose calls wait for engines.
    pub fn waiting_in(&self, now: ClockTime, domain: &DomainName) -> usize {
        let peers = self
            .peers
            .iter()
            .filter(|peer| peer.facts.domain == *domain);
        let recent = peers.filter(|peer| now.since(peer.heard_at) < WAITING_EXPIRY);
        recent.filter(|peer| peer.facts.is_waiting).count()
    }

    /// Failure domain of the peer that was heard at an address.
    pub fn domain_of(&self, address: SocketAddr) -> Option<DomainName> {
        let found = self.find(address).ok();
        found.map(|at| self.peers[at].facts.domain.clone())
    }

    /// Peers of a failure domain that were heard within `wait`.
    pub fn alive_in(&self, now: ClockTime, domain: &DomainName, wait: TimeSpan) -> Vec<&PeerFacts> {
        let peers = self.peers.iter();
        let alive =
            peers.filter(|peer| now.since(peer.heard_at) < wait && peer.facts.domain == *domain);
        alive.map(|peer| &peer.facts).collect()
    }

    /// Failure domains of peers that are alive, sorted.
    pub fn domains(&self, now: ClockTime) -> Vec<DomainName> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < ALIVE_WAIT);
        let mut domains: Vec<_> = alive.map(|peer| &peer.facts.domain).collect();
        domains.sort();
        domains.dedup();
        domains.into_iter().cloned().collect()
    }

    /// Addresses of all peers of a failure domain that are not forgotten yet.
    pub fn known_in(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let peers = self
            .peers
            .iter()
            .filter(|peer| peer.facts.domain == *domain);
        peers.map(|peer| peer.facts.address).collect()
    }

    /// Addresses of these nodes, as far as they are alive.
    pub fn addresses_of(&self, now: ClockTime, nodes: &[NodeName]) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < ALIVE_WAIT);
        let named = alive.filter(|peer| nodes.contains(&peer.facts.node));
        named.map(|peer| peer.facts.address).collect()
    }

    /// Addresses that may belong to peers not alive now: seeds, hints and silent peers.
    pub fn doubtful(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        self.peers
            .retain(|peer| now.since(peer.heard_at) < FORGET_WAIT);
        let alive = self.alive(now);
        let silent = self.peers.iter().map(|peer| peer.facts.address);
        let mut doubtful: Vec<_> = self.seeds.iter().chain(&self.hinted).copied().collect();
        doubtful.extend(silent);
        doubtful.retain(|address| !alive.contains(address));
        doubtful.sort();
        doubtful.dedup();
        doubtful
    }

    /// Nodes that share budgets with this one, itself included.
    pub fn share_count(&self, now: ClockTime) -> usize {
        let peers = self.peers.iter();
        let recent = peers.filter(|peer| now.since(peer.heard_at) < SHARE_WAIT);
        let mut nodes: Vec<_> = recent.map(|peer| &peer.facts.node).collect();
        nodes.sort();
        nodes.dedup();
        nodes.len() + 1
    }

    /// Drops a hint that led nowhere.
    pub fn drop_hint(&mut self, address: SocketAddr) {
        self.hinted.retain(|known| *known != address);
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.facts.address.cmp(&address))
    }
}
