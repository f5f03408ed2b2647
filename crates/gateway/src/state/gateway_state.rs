use base::{
    ClockTime, CoreShare, DomainName, NodeName, ServiceName, TargetName, TimeSpan, rank_owners,
};
use entry::{
    AttemptLog, CallQueue, CopyLocks, DeskCandidate, FactBook, LoadBalancer, MoveTurns,
    PlacementDecision, PlacementPacer, PlacementRequest, PlacementScope, QueueTicket, RetryShare,
    SuspectPlaces,
};
use facts::FactPace;
use tokio::sync::oneshot;

use super::{DeskState, LineGrant, PeerTable, PlaceRefusal, ViewState};
use crate::{GatewaySettings, RetryBounds, ViewArea};

/// Time after which a node takes targets from a peer; the store usually tells it sooner.
const BEHIND_WAIT: TimeSpan = TimeSpan::new(300);

/// Nodes that read the targets from the store for the whole fleet.
const READERS: usize = 2;
/// Key by which the failure domains of these nodes are ranked.
const READER_KEY: &str = "targets";
/// Time after the start in which a node waits for peers to tell it what is published.
const FIRST_WAIT: TimeSpan = TimeSpan::new(800);
/// Age of the targets at which the desk of a failure domain reads them itself.
const UNTOLD_WAIT: TimeSpan = TimeSpan::new(1_100);
/// Time by which each further node of the domain does so later.
const UNTOLD_STEP: TimeSpan = TimeSpan::new(150);
/// Steps at most.
const UNTOLD_STEPS: u64 = 20;
/// Age of the targets, while the store is lost, at which engines are asked whether they leave.
const BLIND_WAIT: TimeSpan = TimeSpan::new(700);

/// Age of the targets at which they are asked by a node that does not read the store; it is told
/// within 1.4 s through desks.
const UNTOLD_BLIND_WAIT: TimeSpan = TimeSpan::new(1_600);

/// Bounds of the bytes for comparing facts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FactPaces {
    /// Of what this node asks.
    pub asking: FactPace,
    /// Of what it answers.
    pub answering: FactPace,
}

/// Answer to a call that waits in the line: its room, or why there will be none.
pub type LineAnswer = Result<LineGrant, PlaceRefusal>;

/// A call in the line.
#[derive(Debug)]
pub struct LineWaiter {
    /// Its place.
    pub ticket: QueueTicket,
    /// What it needs.
    pub need: PlacementRequest,
    /// Node that asked for it; `None` for a call of this node.
    pub asker: Option<NodeName>,
    /// Where it is told its target.
    pub sender: oneshot::Sender<LineAnswer>,
}

/// All state that decisions depend on.
#[derive(Debug)]
pub struct GatewayState {
    /// Published items and their meaning.
    pub view: ViewState,
    /// Targets with load and health.
    pub board: LoadBalancer,
    /// Calls that wait.
    pub line: CallQueue,
    /// When waiting calls get room on engines.
    pub pace: PlacementPacer,
    /// Those calls, sorted by ticket.
    pub waiters: Vec<LineWaiter>,
    /// Budget of second sends.
    pub share: RetryShare,
    /// Facts that nodes agree on.
    pub facts: FactBook,
    /// Bytes that comparing facts with peers may take: as asker, and when asked.
    pub fact_paces: FactPaces,
    /// Whether a peer told its facts since the start.
    pub has_facts: bool,
    /// Where calls run that may crash their targets.
    pub suspects: SuspectPlaces,
    /// Calls that were sent and have no whole answer.
    pub attempts: AttemptLog,
    /// Who places generations.
    pub desk: DeskState,
    /// Other nodes.
    pub peers: PeerTable,
    /// When generations on leaving engines are moved.
    pub turns: MoveTurns,
    /// Which node this desk lets copy off which engine.
    pub locks: CopyLocks,
    /// Calls whose answer has not begun.
    pub active: usize,
    /// When calls have to be over, once the process stops.
    pub stop_end: Option<ClockTime>,
    /// Whether a call that waits for changes of targets is under way.
    pub is_waiting_at_store: bool,
    /// Streams that are being relayed.
    pub streams: usize,
    /// Own revision of the targets when a peer first knew newer ones, and when that was.
    behind: Option<(u64, ClockTime)>,
    retry: RetryBounds,
    pub(super) node: NodeName,
    pub(super) domain: DomainName,
    capacity: CoreShare,
}

impl GatewayState {
    /// Creates the state of a node that has read nothing yet.
    pub fn new(settings: &GatewaySettings, seed: u64) -> Self {
        let retry = settings.retry;
        Self {
            view: ViewState::default(),
            board: LoadBalancer::new(settings.domain.clone(), seed),
            line: CallQueue::default(),
            pace: PlacementPacer::new(seed),
            waiters: Vec::new(),
            share: RetryShare::new(retry.ratio, retry.extra, retry.window),
            facts: FactBook::default(),
            fact_paces: FactPaces::default(),
            has_facts: false,
            suspects: SuspectPlaces::default(),
            attempts: AttemptLog::default(),
            turns: MoveTurns::new(settings.node.clone()),
            locks: CopyLocks::default(),
            peers: PeerTable::new(settings.peer_address, settings.seeds.clone()),
            active: 0,
            stop_end: None,
            is_waiting_at_store: false,
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            capacity: settings.capacity,
            desk: DeskState::new(seed),
            streams: 0,
            behind: None,
            retry,
        }
    }

    /// Gives room on targets to waiting calls, in their order.
    pub fn serve_line(&mut self, now: ClockTime) {
        self.serve_moves(now);
        for service in self.line.services() {
            while let Some(ticket) = self.line.peek(now, &service) {
                let Some(at) = self.waiters.iter().position(|one| one.ticket == ticket) else {
                    self.line.remove(ticket);
                    continue;
                };
                if self.waiters[at].need.engine.is_some() {
                    match self.take_turn(now) {
                        Some(scope) => self.waiters[at].need.scope = scope,
                        None => break,
                    }
                }
                let choice = self.board.choose_target(now, &self.waiters[at].need);
                let end = match choice {
                    PlacementDecision::Target(name) => Ok(name),
                    PlacementDecision::NoTarget => Err(PlaceRefusal::Absent),
                    PlacementDecision::Backoff(left) => Err(PlaceRefusal::Quiet(left)),
                    PlacementDecision::Full => break,
                };
                self.answer_waiter(now, at, end);
            }
        }
    }

    /// Lets generations move whose engine nobody else copies from, where there is room.
    fn serve_moves(&mut self, now: ClockTime) {
        let moving = self.turns.own_moving();
        self.locks.note_moving(now, &self.node, &moving);
        for ticket in self.line.queued_moves() {
            let Some(at) = self.waiters.iter().position(|one| one.ticket == ticket) else {
                self.line.remove(ticket);
                continue;
            };
            let waiter = &self.waiters[at];
            if !self.may_move(now, waiter.asker.as_ref(), &waiter.need) {
                continue;
            }
            if let PlacementDecision::Target(target) = self.board.choose_target(now, &waiter.need) {
                self.answer_waiter(now, at, Ok(target));
            }
        }
    }

    /// Whether a call is no move, or nobody else copies off its engine.
    pub(super) fn may_move(
        &self,
        now: ClockTime,
        asker: Option<&NodeName>,
        need: &PlacementRequest,
    ) -> bool {
        let node = asker.unwrap_or(&self.node);
        let source = need.move_source.as_ref();
        source.is_none_or(|source| self.locks.is_free(now, &source.target, node))
    }

    /// Tells a waiting call its target, or why there is none.
    fn answer_waiter(&mut self, now: ClockTime, at: usize, end: Result<TargetName, PlaceRefusal>) {
        let waiter = self.waiters.remove(at);
        self.line.remove(waiter.ticket);
        let load = waiter.need.load;
        let answer = end.map(|target| LineGrant {
            id: self.take_room(now, waiter.asker.as_ref(), &waiter.need, &target),
            target,
        });
        if let Err(Ok(unused)) = waiter.sender.send(answer) {
            self.give_back(unused.id, &unused.target, load);
        }
    }

    /// Engines that a waiting call may use now; `None` if it is not this node's turn. A desk places
    /// alone.
    fn take_turn(&mut self, now: ClockTime) -> Option<PlacementScope> {
        if self.is_desk(now) {
            return Some(PlacementScope::AllDomains);
        }
        let rivals = self.peers.waiting_in(now, &self.domain);
        self.pace.take_turn(now, rivals)
    }

    /// Whether calls of this node wait for engines.
    pub fn is_waiting(&self) -> bool {
        let mut own = self.waiters.iter().filter(|one| one.asker.is_none());
        own.any(|one| one.need.engine.is_some())
    }

    /// This node as one that places generations.
    pub(super) fn own_candidate(&self) -> DeskCandidate {
        DeskCandidate {
            node: self.node.clone(),
            capacity: self.capacity,
        }
    }

    /// Opens the turns of engines that leave.
    pub fn open_turns(&mut self, now: ClockTime, leaving: &[TargetName]) {
        let Some(config) = self.view.config.clone() else {
            return;
        };
        for name in leaving {
            let service = self.board.target(name).map(|one| &one.record.service);
            let spec = service.and_then(|service| config.service(service));
            if let Some(engine) = spec.and_then(|spec| spec.engine) {
                let peers = self.board.peer_loads(name);
                self.turns.open(now, name, &peers, engine.copy_rate);
            }
        }
    }

    /// Whether this node knows what its peers agree on, so that it may send calls: a peer told it, or
    /// none did in time.
    pub fn is_informed(&self, now: ClockTime) -> bool {
        self.has_facts || !self.peers.has_seeds() || now.since(ClockTime::ZERO) > FIRST_WAIT
    }

    /// Whether to take targets from a peer that knows them up to revision `told`.
    ///
    /// Not at once, as the store usually tells this node sooner.
    pub fn lags_behind(&mut self, now: ClockTime, told: u64) -> bool {
        let known = self.view.target_items.revision().unwrap_or(0);
        if told <= known {
            return false;
        }
        if known == 0 || self.view.guard.is_lost() || !self.is_waiting_at_store {
            return true;
        }
        match self.behind {
            Some((revision, since)) if revision == known => now.since(since) >= BEHIND_WAIT,
            _ => {
                self.behind = Some((known, now));
                false
            }
        }
    }

    /// Time since the targets were known to be up to date.
    pub fn targets_age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.view.target_items.revision()?;
        Some(now.since(self.view.targets_at))
    }

    /// Takes the word of a peer that its targets are up to date, if it knows no newer ones.
    pub fn confirm_targets(&mut self, now: ClockTime, revision: u64, age: Option<TimeSpan>) {
        let is_same = self.view.target_items.revision() == Some(revision);
        if let Some(age) = age.filter(|_| is_same) {
            let at = ClockTime::new(now.as_millis().saturating_sub(age.as_millis()));
            self.view.targets_at = self.view.targets_at.max(at);
        }
    }

    /// Whether this node reads an area from the store itself, rather than hearing of it from peers.
    pub fn reads(&mut self, now: ClockTime, area: ViewArea) -> bool {
        if self.view.mirror(area).revision().is_none() {
            // Peers answer sooner than the store to a node that restarts, and at no price.
            return self.peers.is_seed() || now.since(ClockTime::ZERO) > FIRST_WAIT;
        }
        match area {
            ViewArea::Config => true,
            ViewArea::Targets => self.reads_targets(now),
        }
    }

    /// Whether this node reads changes of targets.
    ///
    /// The desks of two failure domains do for the whole fleet, since each call to the store is paid
    /// for. Every other node does when it is not told for a while that its targets are up to date,
    /// in the order in which they can be desks: the first that the store answers tells the others.
    pub fn reads_targets(&mut self, now: ClockTime) -> bool {
        if self.is_target_reader(now) {
            return true;
        }
        let place = self.desk_place(now).map_or(u64::MAX, |place| place as u64);
        let later = UNTOLD_STEP * place.min(UNTOLD_STEPS);
        now.since(self.view.targets_at) > UNTOLD_WAIT + later
    }

    /// Whether this node is one of those that read targets for the whole fleet.
    pub fn is_target_reader(&mut self, now: ClockTime) -> bool {
        let Some(place) = self.desk_place(now) else {
            return false;
        };
        let mut domains = self.peers.domains(now);
        domains.push(self.domain.clone());
        domains.sort();
        domains.dedup();
        let names = domains.iter().map(DomainName::as_str);
        let ranked = rank_owners(READER_KEY, names);
        let rank = ranked.iter().position(|name| *name == self.domain.as_str());
        match domains.len() {
            1 => place < READERS,
            _ => place == 0 && rank.is_some_and(|rank| rank < READERS),
        }
    }

    /// Whether neither the store nor a peer tells this node about targets.
    pub fn is_blind(&self, now: ClockTime) -> bool {
        let limit = match self.view.guard.is_lost() {
            true => BLIND_WAIT,
            false => UNTOLD_BLIND_WAIT,
        };
        now.since(self.view.targets_at) > limit
    }

    /// Takes new settings; returns whether anything changed.
    pub fn take_settings(&mut self, settings: &GatewaySettings) -> bool {
        let changed = self.peers.set_seeds(settings.seeds.clone());
        if self.retry == settings.retry {
            return changed;
        }
        self.retry = settings.retry;
        let retry = settings.retry;
        self.share
            .set_bounds(retry.ratio, retry.extra, retry.window);
        true
    }

    /// Takes one second send to a service from this node's share; `false` if there is none.
    pub fn take_retry(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        let nodes = self.peers.share_count(now);
        self.share.take(now, service, nodes)
    }
}
