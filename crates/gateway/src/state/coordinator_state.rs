use std::net::SocketAddr;

use base::{ClockTime, DomainName, EventKind, NodeName, ServiceName, TargetName, TimeSpan};
use entry::{
    CoordinatorCandidate, GrantId, GrantTracker, PlacementRequest, TargetLoad, rank_coordinators,
};

use super::{ALIVE_TIMEOUT, GatewayState};

/// Time since a node of the own failure domain was heard within which it can be the coordinator;
/// coordinators get a request or a report at least twice a second.
const COORDINATOR_ALIVE_TIMEOUT: TimeSpan = TimeSpan::new(1_500);
/// Number of nodes at the top of a domain's coordinator ranking that are told what a coordinator
/// has to know: the coordinator and the node that would replace it.
pub const INFORMED_COORDINATORS: usize = 2;
/// Time for which a node that did not answer is left out of the coordinator ranking.
const UNREACHABLE_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time for which a node reports that it accepted a grant; coordinators drop a grant that is not
/// confirmed after a second.
const ACCEPTED_REPORT_TIME: TimeSpan = TimeSpan::new(1_200);
/// Time for which the coordinator ranking of the own failure domain is cached.
const RANKING_LIFETIME: TimeSpan = TimeSpan::new(50);

/// State of a node that concerns placement coordinators: grants as coordinator, grants accepted
/// from others, and the ranking of the own failure domain.
#[derive(Debug)]
pub struct CoordinatorState {
    /// Grants that this node gave to others as their coordinator.
    grants: GrantTracker,
    /// Grants of coordinators that this node accepted lately, with the time of each.
    accepted: Vec<(ClockTime, GrantId)>,
    /// Nodes that did not answer, each with the time until which it is left out of rankings.
    unreachable: Vec<(ClockTime, SocketAddr)>,
    /// Nodes of the own failure domain in coordinator order, and when they were ranked.
    ranking: Option<(ClockTime, Vec<SocketAddr>)>,
    /// Coordinator that was logged last.
    last_logged: Option<SocketAddr>,
}

impl CoordinatorState {
    /// Creates the state of a node; `seed` has to differ between nodes.
    pub fn new(seed: u64) -> Self {
        Self {
            grants: GrantTracker::new(seed),
            accepted: Vec::new(),
            unreachable: Vec::new(),
            ranking: None,
            last_logged: None,
        }
    }

    /// Records that a node did not answer, so that it does not count as a coordinator for a while.
    pub fn mark_unreachable(&mut self, now: ClockTime, address: SocketAddr) {
        self.unreachable
            .retain(|(until, known)| *until > now && *known != address);
        self.unreachable.push((now + UNREACHABLE_TIME, address));
        self.ranking = None;
    }

    /// Records that this node accepted a grant and counts its load.
    pub fn accept_grant(&mut self, now: ClockTime, id: GrantId) {
        self.accepted.push((now, id));
    }

    /// Grants that this node accepted lately, to be confirmed to their coordinators.
    pub fn accepted_grants(&mut self, now: ClockTime) -> Vec<GrantId> {
        self.accepted
            .retain(|(at, _)| now.since(*at) < ACCEPTED_REPORT_TIME);
        self.accepted.iter().map(|(_, id)| *id).collect()
    }

    pub(super) fn is_unreachable(&self, now: ClockTime, address: SocketAddr) -> bool {
        let mut unreachable = self.unreachable.iter();
        unreachable.any(|(until, known)| *until > now && *known == address)
    }
}

impl GatewayState {
    /// Addresses of the nodes of the own failure domain in coordinator order: the first one is the
    /// coordinator. Includes this node unless it is stopping.
    pub fn coordinator_ranking(&mut self, now: ClockTime) -> &[SocketAddr] {
        let cached = self.coordinator.ranking.take();
        let ranking = match cached.filter(|(at, _)| now.since(*at) < RANKING_LIFETIME) {
            Some(ranking) => ranking,
            None => (now, self.rank_own_domain(now)),
        };
        self.log_coordinator_change(now, &ranking.1);
        &self.coordinator.ranking.insert(ranking).1
    }

    /// Whether this node is the coordinator of its failure domain.
    pub fn is_coordinator(&mut self, now: ClockTime) -> bool {
        let own = self.peers.own_address();
        self.coordinator_ranking(now).first().copied() == own
    }

    /// Rank of this node in the coordinator ranking of its failure domain, from 0; `None` if it is
    /// stopping.
    pub fn coordinator_rank(&mut self, now: ClockTime) -> Option<usize> {
        let own = self.peers.own_address();
        self.coordinator_ranking(now)
            .iter()
            .position(|address| Some(*address) == own)
    }

    /// Addresses of the nodes of another failure domain in coordinator order.
    pub fn remote_coordinator_ranking(
        &self,
        now: ClockTime,
        domain: &DomainName,
    ) -> Vec<SocketAddr> {
        self.rank_domain(now, domain, ALIVE_TIMEOUT, None)
    }

    /// Address of the coordinator of a failure domain.
    pub fn coordinator_of(&mut self, now: ClockTime, domain: &DomainName) -> Option<SocketAddr> {
        match *domain == self.domain {
            true => self.coordinator_ranking(now).first().copied(),
            false => self
                .remote_coordinator_ranking(now, domain)
                .first()
                .copied(),
        }
    }

    /// Counts the load of a call that was placed on a target: as own load for a call of this node,
    /// and as a grant, whose identifier is returned, for a call of `requester`. A move also
    /// acquires the copy lock of the engine that it leaves.
    pub(super) fn record_placement(
        &mut self,
        now: ClockTime,
        requester: Option<&NodeName>,
        placement: &PlacementRequest,
        target: &TargetName,
    ) -> Option<GrantId> {
        let load = placement.load;
        if let Some(source) = &placement.move_source {
            let node = requester.unwrap_or(&self.node);
            self.copy_locks.acquire(now, &source.target, node);
        }
        let Some(node) = requester else {
            self.balancer.add_load(target, load);
            return None;
        };
        self.balancer.add_granted(target, load);
        let grants = &mut self.coordinator.grants;
        Some(grants.grant(now, node.clone(), target.clone(), load))
    }

    /// Removes the load of a placement that its call did not use.
    pub(super) fn undo_placement(
        &mut self,
        grant_id: Option<GrantId>,
        target: &TargetName,
        load: TargetLoad,
    ) {
        match grant_id {
            None => self.balancer.remove_load(target, load),
            Some(id) => self.confirm_grants(&[id]),
        }
    }

    /// Removes grants whose load their node counts itself by now, or that are no longer wanted.
    pub fn confirm_grants(&mut self, ids: &[GrantId]) {
        let over = self.coordinator.grants.confirm(ids);
        self.balancer.remove_granted(&over);
    }

    /// Removes grants that their node did not confirm in time.
    pub fn expire_grants(&mut self, now: ClockTime) {
        let over = self.coordinator.grants.expire(now);
        self.balancer.remove_granted(&over);
    }

    /// Logs the coordinator of the own failure domain if it is another one than before.
    fn log_coordinator_change(&mut self, now: ClockTime, ranking: &[SocketAddr]) {
        let coordinator = ranking.first().copied();
        if coordinator == self.coordinator.last_logged {
            return;
        }
        self.coordinator.last_logged = coordinator;
        let unreachable = self.coordinator.unreachable.iter();
        let unreachable = unreachable.filter(|(until, _)| *until > now);
        log::info!(
            event = EventKind::DeskChosen.number(),
            node = self.node.as_str(),
            desk = coordinator.map_or_else(String::new, |address| address.to_string()).as_str(),
            candidates = ranking.len(),
            doubted = unreachable.count();
            "placement coordinator of the failure domain changed"
        );
    }

    fn rank_own_domain(&self, now: ClockTime) -> Vec<SocketAddr> {
        let own = self.peers.own_address();
        let own = own.filter(|_| self.stop_plan.is_none());
        let own = own.map(|address| (self.own_candidate(), address));
        self.rank_domain(now, &self.domain, COORDINATOR_ALIVE_TIMEOUT, own)
    }

    /// Addresses of `own`, if that is of the domain, and of the peers of a failure domain that were heard within
    /// `timeout`, in coordinator order.
    fn rank_domain(
        &self,
        now: ClockTime,
        domain: &DomainName,
        timeout: TimeSpan,
        own: Option<(CoordinatorCandidate, SocketAddr)>,
    ) -> Vec<SocketAddr> {
        let (mut cut_off, mut candidates) = (Vec::new(), Vec::new());
        match self.lacks_engines(&self.paths.lost_services()) {
            true => cut_off.extend(own),
            false => candidates.extend(own),
        }
        for peer in self.peers.alive_in(now, domain, timeout) {
            if peer.is_stopping || self.coordinator.is_unreachable(now, peer.address) {
                continue;
            }
            let candidate = CoordinatorCandidate {
                node: peer.node.clone(),
                capacity: peer.capacity,
            };
            match self.lacks_engines(&peer.paths.lost) {
                true => cut_off.push((candidate, peer.address)),
                false => candidates.push((candidate, peer.address)),
            }
        }
        // Nodes that can't tell which engines are up come last.
        rank_coordinators(domain, &mut candidates);
        rank_coordinators(domain, &mut cut_off);
        let ranked = candidates.into_iter().chain(cut_off);
        ranked.map(|(_, address)| address).collect()
    }

    /// Whether one of these services, to which a node has no path, has engines.
    fn lacks_engines(&self, lost: &[ServiceName]) -> bool {
        let config = self.view.config.as_ref();
        lost.iter().any(|service| {
            let spec = config.and_then(|config| config.service(service));
            spec.is_some_and(|spec| spec.engine.is_some())
        })
    }
}
