use std::net::SocketAddr;

use base::{ClockTime, DomainName, EventKind, NodeName, TargetName, TimeSpan};
use entry::{DeskCandidate, GrantId, GrantLedger, PlacementRequest, TargetLoad, rank_desks};

use super::{ALIVE_WAIT, GatewayState};

/// Time since a node was heard in which it can be the desk of its failure domain; desks are asked
/// or told something at least twice a second.
const DESK_ALIVE: TimeSpan = TimeSpan::new(1_500);
/// First in rank of the nodes of a failure domain, which are told what a desk has to know.
pub const DESKS: usize = 2;
/// Time for which a node that did not answer is no desk.
const DOUBT_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Time for which a node repeats which grants it took over; desks give up others after a second.
const ACCEPTED_TIME: TimeSpan = TimeSpan::new(1_200);
/// Time for which the ranking of the own failure domain is kept.
const RANKING_TIME: TimeSpan = TimeSpan::new(50);

/// What a node knows of the desks that place generations.
#[derive(Debug)]
pub struct DeskState {
    /// Room that this node granted to others.
    ledger: GrantLedger,
    /// Grants of desks that this node took over lately.
    accepted: Vec<(ClockTime, GrantId)>,
    /// Nodes that did not answer, and until when that counts.
    doubted: Vec<(ClockTime, SocketAddr)>,
    /// Nodes of the own failure domain, best desk first, and when they were ranked.
    ranking: Option<(ClockTime, Vec<SocketAddr>)>,
    /// Desk that was logged last.
    chosen: Option<SocketAddr>,
}

impl DeskState {
    /// Creates the state of a node; `seed` has to differ between nodes.
    pub fn new(seed: u64) -> Self {
        Self {
            ledger: GrantLedger::new(seed),
            accepted: Vec::new(),
            doubted: Vec::new(),
            ranking: None,
            chosen: None,
        }
    }

    /// Notes that a node did not answer.
    pub fn doubt(&mut self, now: ClockTime, address: SocketAddr) {
        self.doubted
            .retain(|(until, known)| *until > now && *known != address);
        self.doubted.push((now + DOUBT_TIME, address));
        self.ranking = None;
    }

    /// Notes that this node took over a grant.
    pub fn accept(&mut self, now: ClockTime, id: GrantId) {
        self.accepted.push((now, id));
    }

    /// Grants that this node took over lately.
    pub fn accepted(&mut self, now: ClockTime) -> Vec<GrantId> {
        self.accepted
            .retain(|(at, _)| now.since(*at) < ACCEPTED_TIME);
        self.accepted.iter().map(|(_, id)| *id).collect()
    }

    fn is_doubted(&self, now: ClockTime, address: SocketAddr) -> bool {
        let mut doubted = self.doubted.iter();
        doubted.any(|(until, known)| *until > now && *known == address)
    }
}

impl GatewayState {
    /// Addresses of the nodes of the own failure domain, this node included, best desk first.
    pub fn desks(&mut self, now: ClockTime) -> &[SocketAddr] {
        let kept = self.desk.ranking.take();
        let ranking = match kept.filter(|(at, _)| now.since(*at) < RANKING_TIME) {
            Some(ranking) => ranking,
            None => (now, self.rank_own(now)),
        };
        self.note_desk(now, &ranking.1);
        &self.desk.ranking.insert(ranking).1
    }

    /// Whether this node places generations for its failure domain.
    pub fn is_desk(&mut self, now: ClockTime) -> bool {
        let own = self.peers.own_address();
        self.desks(now).first().copied() == own
    }

    /// Place of this node among the desks of its failure domain, 0 first; `None` if it is stopping.
    pub fn desk_place(&mut self, now: ClockTime) -> Option<usize> {
        let own = self.peers.own_address();
        self.desks(now)
            .iter()
            .position(|address| Some(*address) == own)
    }

    /// Addresses of the nodes of another failure domain, best desk first.
    pub fn far_desks(&self, now: ClockTime, domain: &DomainName) -> Vec<SocketAddr> {
        self.rank(now, domain, ALIVE_WAIT, Vec::new())
    }

    /// Address of the node that lets generations move off the engines of a failure domain.
    pub fn move_desk(&mut self, now: ClockTime, domain: &DomainName) -> Option<SocketAddr> {
        match *domain == self.domain {
            true => self.desks(now).first().copied(),
            false => self.far_desks(now, domain).first().copied(),
        }
    }

    /// Puts a call of this node, or of the node that asked for it, on a target.
    pub(super) fn take_room(
        &mut self,
        now: ClockTime,
        asker: Option<&NodeName>,
        need: &PlacementRequest,
        target: &TargetName,
    ) -> Option<GrantId> {
        let load = need.load;
        if let Some(source) = &need.move_source {
            let node = asker.unwrap_or(&self.node);
            self.locks.take(now, &source.target, node);
        }
        let Some(node) = asker else {
            self.board.add_load(target, load);
            return None;
        };
        self.board.add_granted(target, load);
        let ledger = &mut self.desk.ledger;
        Some(ledger.grant(now, node.clone(), target.clone(), load))
    }

    /// Takes back room that a call did not use.
    pub(super) fn give_back(
        &mut self,
        grant: Option<GrantId>,
        target: &TargetName,
        load: TargetLoad,
    ) {
        match grant {
            None => self.board.remove_load(target, load),
            Some(id) => self.confirm_grants(&[id]),
        }
    }

    /// Takes the word of a node that it has the load of these grants.
    pub fn confirm_grants(&mut self, ids: &[GrantId]) {
        let over = self.desk.ledger.confirm(ids);
        self.board.remove_granted(&over);
    }

    /// Drops grants that no node took over in time.
    pub fn expire_grants(&mut self, now: ClockTime) {
        let over = self.desk.ledger.expire(now);
        self.board.remove_granted(&over);
    }

    fn note_desk(&mut self, now: ClockTime, ranking: &[SocketAddr]) {
        let desk = ranking.first().copied();
        if desk == self.desk.chosen {
            return;
        }
        self.desk.chosen = desk;
        let doubted = self.desk.doubted.iter().filter(|(until, _)| *until > now);
        log::info!(
            event = EventKind::DeskChosen.number(),
            node = self.node.as_str(),
            desk = desk.map_or_else(String::new, |desk| desk.to_string()).as_str(),
            candidates = ranking.len(),
            doubted = doubted.count();
            "places the generations of the domain"
        );
    }

    fn rank_own(&self, now: ClockTime) -> Vec<SocketAddr> {
        let own = self.peers.own_address().filter(|_| self.stop_end.is_none());
        let own = own.map(|address| (self.own_candidate(), address));
        self.rank(now, &self.domain, DESK_ALIVE, own.into_iter().collect())
    }

    fn rank(
        &self,
        now: ClockTime,
        domain: &DomainName,
        wait: TimeSpan,
        mut candidates: Vec<(DeskCandidate, SocketAddr)>,
    ) -> Vec<SocketAddr> {
        for peer in self.peers.alive_in(now, domain, wait) {
            if !peer.is_stopping && !self.desk.is_doubted(now, peer.address) {
                let candidate = DeskCandidate {
                    node: peer.node.clone(),
                    capacity: peer.capacity,
                };
                candidates.push((candidate, peer.address));
            }
        }
        rank_desks(domain, &mut candidates);
        candidates.into_iter().map(|(_, address)| address).collect()
    }
}
