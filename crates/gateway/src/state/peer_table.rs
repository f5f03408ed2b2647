use std::net::SocketAddr;

use base::{ClockTime, CoreShare, DomainName, NodeName, ServiceName, TimeSpan};

/// Time after which a peer that was not heard no longer counts as alive; peers of other failure
/// domains are heard rarely in large fleets.
pub const ALIVE_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);
/// Time after it was last heard for which a peer counts when budgets are divided; a peer that is cut
/// off goes on using its share.
const SHARE_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);
/// Time after which a silent peer is forgotten.
const FORGET_TIMEOUT: TimeSpan = TimeSpan::from_secs(120);
/// Time for which the report of a peer that its calls wait for engines holds; digests arrive at
/// least that often.
const WAITING_EXPIRY: TimeSpan = TimeSpan::from_secs(2);
/// Largest number of peers in the table, and of hinted addresses.
const PEER_LIMIT: usize = 512;

/// What a peer reports about its network paths to targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerPaths {
    /// Whether it accepts forwarded calls; earlier builds don't.
    pub accepts_calls: bool,
    /// Services to whose targets it has no path, sorted.
    pub lost: Vec<ServiceName>,
}

impl PeerPaths {
    /// Whether calls for a service may be forwarded to the peer.
    pub fn can_help(&self, service: &ServiceName) -> bool {
        self.accepts_calls && self.lost.binary_search(service).is_err()
    }
}

/// What a peer reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerInfo {
    /// Address of the node for peers.
    pub address: SocketAddr,
    /// The node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Processor share of the node.
    pub capacity: CoreShare,
    /// Whether calls of the node wait for engines.
    pub is_waiting: bool,
    /// Whether the node is stopping.
    pub is_stopping: bool,
    /// Network paths of the node to targets.
    pub paths: PeerPaths,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    info: PeerInfo,
    heard_at: ClockTime,
}

/// Peers of this node, discovered through the seeds and through addresses that other peers report.
#[derive(Debug, Default)]
pub struct PeerTable {
    own_address: Option<SocketAddr>,
    is_seed: bool,
    seeds: Vec<SocketAddr>,
    /// Sorted by address.
    peers: Vec<PeerEntry>,
    /// Addresses that peers reported and that have not been heard yet.
    hinted: Vec<SocketAddr>,
}

impl PeerTable {
    /// Creates the table of a node with its own address and seeds, without peers.
    pub fn new(own_address: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        let mut table = Self {
            own_address: Some(own_address),
            ..Self::default()
        };
        table.set_seeds(seeds);
        table
    }

    /// Address of this node for peers.
    pub fn own_address(&self) -> Option<SocketAddr> {
        self.own_address
    }

    /// Whether other nodes find the fleet through this node: it is a seed itself, or no seeds are set.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Whether this node has seeds other than itself.
    pub fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Replaces the seeds; returns whether they changed.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) -> bool {
        let count = seeds.len();
        seeds.retain(|seed| Some(*seed) != self.own_address);
        // A node without other seeds has nobody to wait for, so it counts as a seed.
        self.is_seed = seeds.len() < count || seeds.is_empty();
        let changed = self.seeds != seeds;
        self.seeds = seeds;
        changed
    }

    /// Records that a peer was heard and what it reported about itself; returns whether it was not
    /// alive before.
    pub fn record_heard(&mut self, now: ClockTime, info: PeerInfo) -> bool {
        self.hinted.retain(|known| *known != info.address);
        let found = self.find(info.address);
        let entry = PeerEntry {
            info,
            heard_at: now,
        };
        match found {
            Ok(at) => {
                let was_alive = now.since(self.peers[at].heard_at) < ALIVE_TIMEOUT;
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

    /// Adds addresses of nodes that a peer reported, as far as they are new.
    pub fn add_hints(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            let is_known = self.find(*address).is_ok() || self.hinted.contains(address);
            if !is_known && Some(*address) != self.own_address && self.hinted.len() < PEER_LIMIT {
                self.hinted.push(*address);
            }
        }
    }

    /// Addresses that peers reported and that have not been heard yet.
    pub fn hinted(&self) -> &[SocketAddr] {
        &self.hinted
    }

    /// Addresses of peers that are alive.
    pub fn alive(&self, now: ClockTime) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < ALIVE_TIMEOUT);
        alive.map(|peer| peer.info.address).collect()
    }

    /// Records that a known peer was heard again, and whether its calls wait for engines.
    pub fn refresh(
        &mut self,
        now: ClockTime,
        address: SocketAddr,
        node: &NodeName,
        is_waiting: bool,
    ) {
        if let Ok(at) = self.find(address)
            && self.peers[at].info.node == *node
        {
            self.peers[at].heard_at = now;
            self.peers[at].info.is_waiting = is_waiting;
        }
    }

    /// Number of peers of a failure domain whose calls wait for engines.
    pub fn waiting_in(&self, now: ClockTime, domain: &DomainName) -> usize {
        let peers = self.peers.iter().filter(|peer| peer.info.domain == *domain);
        let recent = peers.filter(|peer| now.since(peer.heard_at) < WAITING_EXPIRY);
        recent.filter(|peer| peer.info.is_waiting).count()
    }

    /// Failure domain of the peer at an address.
    pub fn domain_of(&self, address: SocketAddr) -> Option<DomainName> {
        let found = self.find(address).ok();
        found.map(|at| self.peers[at].info.domain.clone())
    }

    /// Peers of a failure domain that were heard within `timeout`.
    pub fn alive_in(
        &self,
        now: ClockTime,
        domain: &DomainName,
        timeout: TimeSpan,
    ) -> Vec<&PeerInfo> {
        let peers = self.peers.iter();
        let alive =
            peers.filter(|peer| now.since(peer.heard_at) < timeout && peer.info.domain == *domain);
        alive.map(|peer| &peer.info).collect()
    }

    /// Peers that were heard within `timeout` and to which calls for a service may be forwarded.
    pub fn helpers(
        &self,
        now: ClockTime,
        service: &ServiceName,
        timeout: TimeSpan,
    ) -> Vec<&PeerInfo> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < timeout);
        let infos = alive.map(|peer| &peer.info);
        infos
            .filter(|info| !info.is_stopping && info.paths.can_help(service))
            .collect()
    }

    /// Failure domains of peers that are alive, sorted.
    pub fn domains(&self, now: ClockTime) -> Vec<DomainName> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < ALIVE_TIMEOUT);
        let mut domains: Vec<_> = alive.map(|peer| &peer.info.domain).collect();
        domains.sort();
        domains.dedup();
        domains.into_iter().cloned().collect()
    }

    /// Addresses of all peers of a failure domain in the table, alive or not.
    pub fn known_in(&self, domain: &DomainName) -> Vec<SocketAddr> {
        let peers = self.peers.iter().filter(|peer| peer.info.domain == *domain);
        peers.map(|peer| peer.info.address).collect()
    }

    /// Addresses of those of the named nodes that are alive.
    pub fn addresses_of(&self, now: ClockTime, nodes: &[NodeName]) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let alive = peers.filter(|peer| now.since(peer.heard_at) < ALIVE_TIMEOUT);
        let named = alive.filter(|peer| nodes.contains(&peer.info.node));
        named.map(|peer| peer.info.address).collect()
    }

    /// Addresses to try although no peer is known to be alive there: seeds, hinted addresses and silent
    /// peers. Peers that have been silent for too long are removed from the table first.
    pub fn unconfirmed(&mut self, now: ClockTime) -> Vec<SocketAddr> {
        self.peers
            .retain(|peer| now.since(peer.heard_at) < FORGET_TIMEOUT);
        let alive = self.alive(now);
        let silent = self.peers.iter().map(|peer| peer.info.address);
        let mut unconfirmed: Vec<_> = self.seeds.iter().chain(&self.hinted).copied().collect();
        unconfirmed.extend(silent);
        unconfirmed.retain(|address| !alive.contains(address));
        unconfirmed.sort();
        unconfirmed.dedup();
        unconfirmed
    }

    /// Number of nodes among which budgets are divided, this one included.
    pub fn sharing_nodes(&self, now: ClockTime) -> usize {
        let peers = self.peers.iter();
        let recent = peers.filter(|peer| now.since(peer.heard_at) < SHARE_TIMEOUT);
        let mut nodes: Vec<_> = recent.map(|peer| &peer.info.node).collect();
        nodes.sort();
        nodes.dedup();
        nodes.len() + 1
    }

    /// Removes a hinted address at which no other node answered.
    pub fn drop_hint(&mut self, address: SocketAddr) {
        self.hinted.retain(|known| *known != address);
    }

    fn find(&self, address: SocketAddr) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.info.address.cmp(&address))
    }
}
