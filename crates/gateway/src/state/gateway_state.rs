use std::net::SocketAddr;

use base::{
    ClockTime, CoreShare, DomainName, NodeName, ServiceName, TargetName, TimeSpan, rank_owners,
};
use entry::{
    AttemptTracker, CallQueue, CoordinatorCandidate, CopyLocks, DomainPace, EvacuationLedger,
    FactState, FleetReach, FullTargets, GapCollector, LoadBalancer, MovePlan, MovePlanner,
    MoveScheduler, MoveWorth, NoticeEstimate, PaceReport, PaceTurns, PathTable, PlacementDecision,
    PlacementPacer, PlacementRequest, PlacementScope, QueueTicket, RateLedger, RetryShare,
    ReturnSchedule, SampleBudget, StorePosition, SuspectTracker, TargetPhase, TrialLedger,
};
use facts::FactLimiter;
use tokio::sync::oneshot;

use super::{
    CallTimes, CoordinatorState, INFORMED_COORDINATORS, PeerTable, PlacedTarget, PlacementRefusal,
    StopPlan, ViewState,
};
use crate::peer::FactOutbox;
use crate::{GatewaySettings, RetrySettings, ViewArea};

/// Time for which a node that watches the store waits for it before it fetches newer targets from a
/// peer; the store usually answers sooner.
const FETCH_DELAY: TimeSpan = TimeSpan::new(300);

/// Number of nodes that read the targets from the store for the whole fleet.
const TARGET_READERS: usize = 2;
/// Key by which failure domains are ranked to choose those nodes.
const READER_RANK_KEY: &str = "targets";
/// Longest time after the start for which a node waits for its peers to tell it what they know.
const INITIAL_SYNC_TIMEOUT: TimeSpan = TimeSpan::new(800);
/// Time since the targets were last confirmed after which the coordinator of a failure domain reads
/// them from the store itself.
const TAKEOVER_AGE: TimeSpan = TimeSpan::new(1_100);
/// Time by which each node that follows in the coordinator ranking waits longer.
const TAKEOVER_STEP: TimeSpan = TimeSpan::new(150);
/// Largest number of those steps.
const TAKEOVER_STEP_LIMIT: u64 = 20;
/// Time since the targets were last confirmed, while the store does not answer, after which engines
/// are asked whether they leave. Engines give 1.5 s to 2 s of notice, and moving their generations
/// takes about as long.
const OUTAGE_STALE_AGE: TimeSpan = TimeSpan::new(300);

/// The same time while the store answers, for nodes that do not read from it; the report of a
/// reader reaches them within 1.4 s through the coordinators.
const STALE_AGE: TimeSpan = TimeSpan::new(1_600);

/// Calls behind one that waits for a faster engine that may find no room before the rest is not
/// tried.
const BEHIND_FAILURES: usize = 3;

/// Rate limiters for the bytes that the synchronization of facts with peers takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FactLimiters {
    /// For requests of this node.
    pub requests: FactLimiter,
    /// For responses to requests of peers.
    pub responses: FactLimiter,
    /// For facts that this node pushes.
    pub pushes: FactLimiter,
}

/// Answer to a queued call: the target on which it was placed, or why there is none.
pub type QueueAnswer = Result<PlacedTarget, PlacementRefusal>;

/// A call in the queue, with what is needed to place it.
#[derive(Debug)]
pub struct QueueWaiter {
    /// Ticket of the call in the queue.
    pub ticket: QueueTicket,
    /// What the call requires of the target.
    pub placement: PlacementRequest,
    /// Node that requested the placement; `None` for a call of this node.
    pub requester: Option<NodeName>,
    /// Channel for the answer.
    pub sender: oneshot::Sender<QueueAnswer>,
}

/// State of a gateway on which its decisions depend.
#[derive(Debug)]
pub struct GatewayState {
    /// Published items, and the configuration and targets decoded from them.
    pub view: ViewState,
    /// Which failure domains are evacuated.
    pub evacuations: EvacuationLedger,
    /// Evacuated domains of which it was not logged yet that no generation is left.
    pub(super) draining_domains: Vec<DomainName>,
    /// Targets with their load and health; chooses targets for calls.
    pub balancer: LoadBalancer,
    /// Gaps between the events of the streams of this node, to be reported.
    pub gaps: GapCollector,
    /// Which paces of engines the coordinators of other failure domains were sent last.
    pub pace_turns: PaceTurns,
    /// Order of the calls that wait for capacity.
    pub queue: CallQueue,
    /// Number of calls that were refused since their wait was expected to be too long.
    pub early_refusals: u64,
    /// When the metrics of the queue were set last.
    pub(super) queue_metrics_at: ClockTime,
    /// Decides when a waiting call may be placed on an engine without a coordinator.
    pub pacer: PlacementPacer,
    /// The calls in the queue, sorted by ticket.
    pub waiters: Vec<QueueWaiter>,
    /// Share of this node in the retry budget.
    pub retry_share: RetryShare,
    /// Facts that all nodes replicate, and the conclusions from them.
    pub facts: FactState,
    /// Limits of the bytes that the synchronization of facts takes.
    pub fact_limiters: FactLimiters,
    /// Whether facts were synchronized with a peer since the start.
    pub has_peer_facts: bool,
    /// Facts that wait to be pushed to peers.
    pub outbox: FactOutbox,
    /// Trials of suspected prompt parts that this node granted.
    pub trials: TrialLedger,
    /// Targets on which calls run that may crash them.
    pub suspects: SuspectTracker,
    /// Whether this node has a network path to the targets of each service.
    pub paths: PathTable,
    /// Permits that this node grants for targets that name a rate.
    pub rate_ledger: RateLedger,
    /// Sizes of the failure domains, by which a rate is divided while some can't be reached.
    pub reach: FleetReach,
    /// Whether a coordinator reported the sizes of failure domains since the start.
    pub(super) knows_fleet_size: bool,
    /// When refused callers are told to return.
    pub returns: ReturnSchedule,
    /// Calls that were sent and have no complete response.
    pub attempts: AttemptTracker,
    /// Ranking of placement coordinators, and grants.
    pub coordinator: CoordinatorState,
    /// Other gateway nodes.
    pub peers: PeerTable,
    /// Decides when this node may move generations off leaving engines.
    pub move_scheduler: MoveScheduler,
    /// Locks by which this node, as coordinator, lets one node at a time copy off an engine.
    pub copy_locks: CopyLocks,
    /// Engines that refused copies for lack of room; they get no moves for a while.
    pub full_targets: FullTargets,
    /// Time from the notice to the end of engines that left.
    pub notices: NoticeEstimate,
    /// Number of calls whose answer has not begun.
    pub active_calls: usize,
    /// Times of the shutdown; set once the process is stopping.
    pub stop_plan: Option<StopPlan>,
    /// Whether a request to the store that waits for changes of targets is open.
    pub is_watching_store: bool,
    /// Number of streams that are being relayed.
    pub active_streams: usize,
    /// Own position of the targets when a peer first reported a newer one, and when that was.
    behind_since: Option<(StorePosition, ClockTime)>,
    retry: RetrySettings,
    pub(super) node: NodeName,
    pub(super) domain: DomainName,
    capacity: CoreShare,
}

impl GatewayState {
    /// Creates the state of a node that has read nothing yet; `seed` has to differ between nodes.
    pub fn new(settings: &GatewaySettings, seed: u64) -> Self {
        let retry = settings.retry;
        Self {
            view: ViewState::new(settings.renewal_interval),
            evacuations: EvacuationLedger::default(),
            draining_domains: Vec::new(),
            balancer: LoadBalancer::new(settings.domain.clone(), seed),
            gaps: GapCollector::default(),
            pace_turns: PaceTurns::default(),
            queue: CallQueue::default(),
            early_refusals: 0,
            queue_metrics_at: ClockTime::ZERO,
            pacer: PlacementPacer::new(seed),
            waiters: Vec::new(),
            retry_share: RetryShare::new(retry.ratio, retry.extra, retry.window),
            facts: FactState::started_at(ClockTime::ZERO),
            fact_limiters: FactLimiters::default(),
            has_peer_facts: false,
            outbox: FactOutbox::default(),
            trials: TrialLedger::default(),
            suspects: SuspectTracker::default(),
            paths: PathTable::default(),
            rate_ledger: RateLedger::default(),
            reach: FleetReach::default(),
            knows_fleet_size: false,
            returns: ReturnSchedule::default(),
            attempts: AttemptTracker::default(),
            move_scheduler: MoveScheduler::new(settings.node.clone()),
            copy_locks: CopyLocks::default(),
            full_targets: FullTargets::default(),
            notices: NoticeEstimate::default(),
            peers: PeerTable::new(settings.peer_address, settings.seeds.clone()),
            active_calls: 0,
            stop_plan: None,
            is_watching_store: false,
            node: settings.node.clone(),
            domain: settings.domain.clone(),
            capacity: settings.capacity,
            coordinator: CoordinatorState::new(seed),
            active_streams: 0,
            behind_since: None,
            retry,
        }
    }

    /// Places waiting calls on targets that have capacity, in queue order.
    pub fn serve_queue(&mut self, now: ClockTime) {
        self.serve_queued_moves(now);
        for service in self.queue.services() {
            // Lanes whose next call finds no room; calls of other lanes may use other room.
            let mut blocked = Vec::new();
            while let Some((ticket, lane)) = self.queue.peek_beside(now, &service, &blocked) {
                let Some(at) = self.waiters.iter().position(|one| one.ticket == ticket) else {
                    self.queue.remove(ticket);
                    continue;
                };
                if self.waiters[at].placement.engine.is_some() {
                    match self.take_turn(now) {
                        Some(scope) => self.waiters[at].placement.scope = scope,
                        None => break,
                    }
                }
                let decision = self
                    .balancer
                    .choose_target(now, &self.waiters[at].placement);
                let result = match decision {
                    PlacementDecision::Target(name) => Ok(name),
                    PlacementDecision::NoTarget => Err(PlacementRefusal::NoTarget),
                    PlacementDecision::Backoff(left) => Err(self.refuse_for(now, &service, left)),
                    PlacementDecision::Full => {
                        self.serve_behind(now, at);
                        blocked.push(lane);
                        continue;
                    }
                };
                self.answer_waiter(now, at, result);
            }
        }
    }

    /// Places calls behind the waiter at index `head` on the engines that have room but that the
    /// head avoids as too slow. They leave it the other engines, for which it waits.
    fn serve_behind(&mut self, now: ClockTime, head: usize) {
        let placement = &self.waiters[head].placement;
        let (service, scope) = (placement.service.clone(), placement.scope);
        let avoided = self.balancer.avoided_targets(now, placement);
        if avoided.is_empty() {
            return;
        }
        let mut failures = 0;
        for ticket in self.queue.ordered(now, &service) {
            // Waiters are sorted by ticket.
            let Ok(at) = self.waiters.binary_search_by_key(&ticket, |one| one.ticket) else {
                continue;
            };
            let placement = &mut self.waiters[at].placement;
            if placement.may_wait_for_pace(now) {
                continue;
            }
            placement.scope = scope;
            let decision = self.balancer.choose_among(now, placement, Some(&avoided));
            match decision {
                PlacementDecision::Target(name) => self.answer_waiter(now, at, Ok(name)),
                _ if failures >= BEHIND_FAILURES => return,
                _ => failures += 1,
            }
        }
    }

    /// Places queued moves of generations for which a target has capacity and off whose engine no
    /// other node copies; those whose move is worth most go first.
    fn serve_queued_moves(&mut self, now: ClockTime) {
        let moving = self.move_scheduler.copying_sources();
        self.copy_locks.update_holder(now, &self.node, &moving);
        for ticket in self.moves_by_worth() {
            let Some(at) = self.waiters.iter().position(|one| one.ticket == ticket) else {
                self.queue.remove(ticket);
                continue;
            };
            let waiter = &self.waiters[at];
            if !self.may_move(now, waiter.requester.as_ref(), &waiter.placement) {
                continue;
            }
            let placement = waiter.placement.clone();
            if let PlacementDecision::Target(target) = self.choose_target(now, &placement) {
                self.answer_waiter(now, at, Ok(target));
            }
        }
    }

    /// Queued moves, those whose move is worth most first, then in queue order.
    fn moves_by_worth(&self) -> Vec<QueueTicket> {
        let mut tickets = self.queue.queued_moves();
        tickets.sort_by_cached_key(|ticket| {
            let waiter = self.waiters.iter().find(|one| one.ticket == *ticket);
            let worth = waiter.and_then(|waiter| {
                let source = waiter.placement.move_source.as_ref()?;
                let copy_tokens = waiter.placement.load.incoming;
                Some(MoveWorth::new(source.produced, copy_tokens))
            });
            std::cmp::Reverse(worth)
        });
        tickets
    }

    /// Latest time at which a leaving engine ends: as it reported itself, or by the notice that
    /// engines of its service gave before. `None` if neither is known.
    ///
    /// The notices of others say nothing of a target that does not leave, and a time that has
    /// passed was wrong.
    pub fn engine_end(
        &self,
        now: ClockTime,
        source: &TargetName,
        service: &ServiceName,
    ) -> Option<ClockTime> {
        let scheduler = &self.move_scheduler;
        let reported = scheduler.ends_by(source);
        let ends_by = reported.or_else(|| {
            let state = self.balancer.target(source)?;
            let noticed_at = scheduler.noticed_at(source)?;
            let notice = self.notices.longest(service)?;
            (state.phase == TargetPhase::Leaving).then(|| noticed_at + notice)
        });
        ends_by.filter(|ends_by| *ends_by > now)
    }

    /// Records the latest time at which a leaving engine ends, as it reported itself.
    pub fn record_engine_end(&mut self, source: &TargetName, ends_by: ClockTime) {
        self.move_scheduler.set_end(source, ends_by);
        if let Some(state) = self.balancer.target(source) {
            let service = state.record.service.clone();
            self.learn_notice(source, &service, ends_by);
        }
    }

    /// Learns the notice that a leaving engine gave from the time of its end.
    pub fn learn_notice(&mut self, source: &TargetName, service: &ServiceName, end: ClockTime) {
        if let Some(notice) = self.move_scheduler.take_notice(source, end) {
            self.notices.record(service, notice);
        }
    }

    /// Whether a call is not a move, or no other node copies off the engine that it leaves.
    pub(super) fn may_move(
        &self,
        now: ClockTime,
        requester: Option<&NodeName>,
        placement: &PlacementRequest,
    ) -> bool {
        let node = requester.unwrap_or(&self.node);
        let Some(source) = &placement.move_source else {
            return true;
        };
        let is_near = true;
        self.copy_locks.is_free(now, &source.target, node)
            && self.plan_copy(now, placement, 0, is_near) != MovePlan::Skip
    }

    /// How to move a generation whose copy waits for `queued` tokens on the link of its destination;
    /// `is_near` tells whether that is in the failure domain of its engine.
    fn plan_copy(
        &self,
        now: ClockTime,
        placement: &PlacementRequest,
        queued: u64,
        is_near: bool,
    ) -> MovePlan {
        let (Some(source), Some(spec)) = (&placement.move_source, placement.engine) else {
            return MovePlan::TwoSteps;
        };
        let ends_by = self.engine_end(now, &source.target, &placement.service);
        let tokens = placement.load.incoming + queued;
        MovePlanner::new(spec.copy_rate).plan(now, ends_by, tokens, is_near)
    }

    /// Chooses a target for a call; none for a move whose copy to it would end after the engine
    /// does.
    pub(super) fn choose_target(
        &mut self,
        now: ClockTime,
        placement: &PlacementRequest,
    ) -> PlacementDecision {
        let full = match placement.move_source {
            Some(_) => self.full_targets.names(now),
            None => Vec::new(),
        };
        let decision = match full.is_empty() {
            true => self.balancer.choose_target(now, placement),
            false => {
                let mut placement = placement.clone();
                placement.excluded.extend(full);
                self.balancer.choose_target(now, &placement)
            }
        };
        let (PlacementDecision::Target(name), Some(source)) = (&decision, &placement.move_source)
        else {
            return decision;
        };
        let found = self.balancer.target(name);
        let plan = found.map(|target| {
            let is_near = target.record.domain == source.domain;
            self.plan_copy(now, placement, target.total().incoming, is_near)
        });
        match plan {
            Some(MovePlan::Skip) => PlacementDecision::Full,
            _ => decision,
        }
    }

    /// Whether a target leaves, other than one whose failure domain is evacuated.
    pub(super) fn is_leaving(&self, target: &TargetName) -> bool {
        let found = self.balancer.target(target);
        found.is_none_or(|one| one.phase == TargetPhase::Leaving)
    }

    /// Removes a call from the queue and sends it its target, or why there is none; undoes the
    /// placement if the call no longer waits.
    fn answer_waiter(
        &mut self,
        now: ClockTime,
        at: usize,
        result: Result<TargetName, PlacementRefusal>,
    ) {
        let waiter = self.waiters.remove(at);
        match &result {
            Ok(_) => self.queue.place(now, waiter.ticket),
            Err(_) => self.queue.abandon(now, waiter.ticket),
        }
        let load = waiter.placement.load;
        let answer = result.map(|target| PlacedTarget {
            grant_id: self.record_placement(
                now,
                waiter.requester.as_ref(),
                &waiter.placement,
                &target,
            ),
            target,
        });
        if let Err(Ok(unused)) = waiter.sender.send(answer) {
            self.undo_placement(unused.grant_id, &unused.target, load);
        }
    }

    /// Takes a turn to place one waiting generation and returns the domains whose engines it may
    /// use; `None` if the turn of this node is not due. A coordinator needs no turns, as it places
    /// alone.
    fn take_turn(&mut self, now: ClockTime) -> Option<PlacementScope> {
        if self.is_coordinator(now) {
            return Some(PlacementScope::AllDomains);
        }
        let rivals = self.peers.waiting_in(now, &self.domain);
        self.pacer.take_turn(now, rivals)
    }

    /// Closes the samples of the gaps between events, and counts them for the choices of this node.
    pub fn close_gap_samples(&mut self, now: ClockTime) {
        let reports = self.gaps.close(now);
        let node = self.node.clone();
        self.balancer.add_paces(now, &node, &reports);
    }

    /// Samples of gaps that a coordinator was not sent yet; others than coordinators get none. To
    /// another failure domain, only those of its own engines are sent.
    pub fn take_gap_samples(&mut self, now: ClockTime, receiver: SocketAddr) -> Vec<PaceReport> {
        let Some(domain) = self.peers.domain_of(receiver) else {
            return Vec::new();
        };
        if domain != self.domain {
            let balancer = &self.balancer;
            let is_meant = |target: &TargetName| {
                let found = balancer.target(target);
                found.is_some_and(|one| one.record.domain == domain)
            };
            let budget = SampleBudget::OTHER_DOMAIN;
            return self.gaps.take_for(now, receiver, budget, is_meant);
        }
        let ranking = self.coordinator_ranking(now);
        let mut informed = ranking.iter().take(INFORMED_COORDINATORS);
        match informed.any(|one| *one == receiver) {
            true => {
                let budget = SampleBudget::OWN_DOMAIN;
                self.gaps.take_for(now, receiver, budget, |_| true)
            }
            false => Vec::new(),
        }
    }

    /// Paces of the engines of the own failure domain for a coordinator of another one, if it is due
    /// to get some: not all at once, but each in turn.
    pub fn take_domain_paces(&mut self, now: ClockTime, receiver: SocketAddr) -> Vec<DomainPace> {
        let Some(domain) = self.peers.domain_of(receiver) else {
            return Vec::new();
        };
        let ranking = self.remote_coordinator_ranking(now, &domain);
        let mut informed = ranking.iter().take(INFORMED_COORDINATORS);
        if domain == self.domain || !informed.any(|one| *one == receiver) {
            return Vec::new();
        }
        let paces = self.balancer.domain_paces();
        self.pace_turns.take(now, receiver, paces)
    }

    /// Whether calls of this node wait for engines.
    pub fn has_queued_generations(&self) -> bool {
        let mut own = self.waiters.iter().filter(|one| one.requester.is_none());
        own.any(|one| one.placement.engine.is_some())
    }

    /// This node as a candidate for the coordinator of its failure domain.
    pub(super) fn own_candidate(&self) -> CoordinatorCandidate {
        CoordinatorCandidate {
            node: self.node.clone(),
            capacity: self.capacity,
        }
    }

    /// Starts to schedule the moves of generations off leaving engines; other targets are ignored.
    pub fn schedule_moves(&mut self, now: ClockTime, leaving: &[TargetName]) {
        let Some(config) = self.view.config.clone() else {
            return;
        };
        for name in leaving {
            let service = self.balancer.target(name).map(|one| &one.record.service);
            let spec = service.and_then(|service| config.service(service));
            if let Some(engine) = spec.and_then(|spec| spec.engine) {
                let peers = self.balancer.peer_loads(name);
                let is_leaving = self.is_leaving(name);
                self.move_scheduler
                    .add_source(now, name, &peers, engine.copy_rate, is_leaving);
            }
        }
    }

    /// Whether this node may send calls as far as the facts of its peers are concerned: it has
    /// synchronized them with one, it has no peers to find, or none answered in time.
    pub fn has_initial_sync(&self, now: ClockTime) -> bool {
        self.has_peer_facts
            || !self.peers.has_seeds()
            || now.since(ClockTime::ZERO) > INITIAL_SYNC_TIMEOUT
    }

    /// Whether to fetch targets from a peer that knows them up to the position `peer`.
    ///
    /// A node that watches the store waits a little first, since the store usually answers sooner.
    pub fn should_fetch_targets(&mut self, now: ClockTime, peer: StorePosition) -> bool {
        let known = self.view.target_items.position().unwrap_or_default();
        if peer <= known {
            return false;
        }
        let is_other_history = known.era < peer.era || known.revision == 0;
        if is_other_history || self.view.guard.is_store_lost() || !self.is_watching_store {
            return true;
        }
        match self.behind_since {
            Some((position, since)) if position == known => now.since(since) >= FETCH_DELAY,
            _ => {
                self.behind_since = Some((known, now));
                false
            }
        }
    }

    /// Time since the targets were last confirmed to be up to date; `None` if none were read yet.
    pub fn targets_age(&self, now: ClockTime) -> Option<TimeSpan> {
        self.view.target_items.revision()?;
        Some(now.since(self.view.targets_at))
    }

    /// Applies the report of a peer that its targets were up to date `age` ago, if it has the same
    /// revision as this node.
    pub fn confirm_targets(
        &mut self,
        now: ClockTime,
        position: StorePosition,
        age: Option<TimeSpan>,
    ) {
        let is_same = self.view.target_items.position() == Some(position);
        if let Some(age) = age.filter(|_| is_same) {
            self.view
                .confirm(ViewArea::Targets, now.saturating_sub(age));
        }
    }

    /// Whether this node reads an area from the store itself instead of relying on its peers.
    pub fn reads_from_store(&mut self, now: ClockTime, area: ViewArea) -> bool {
        if self.view.mirror(area).revision().is_none() {
            // To a node that restarts, peers answer sooner than the store, and their responses are
            // not paid for.
            return self.peers.is_seed() || now.since(ClockTime::ZERO) > INITIAL_SYNC_TIMEOUT;
        }
        match area {
            ViewArea::Config => true,
            ViewArea::Targets => self.reads_targets_from_store(now),
        }
    }

    /// Whether this node reads changes of targets from the store.
    ///
    /// Only the target readers do for the whole fleet, since each request to the store is paid for.
    /// Any other node does once its targets have not been confirmed for a while. Nodes that are
    /// further down in the coordinator ranking wait longer, so that the first one that the store
    /// answers can tell the others.
    pub fn reads_targets_from_store(&mut self, now: ClockTime) -> bool {
        if self.is_target_reader(now) {
            return true;
        }
        let rank = self.coordinator_rank(now);
        let steps = rank.map_or(u64::MAX, |rank| rank as u64);
        let delay = TAKEOVER_STEP * steps.min(TAKEOVER_STEP_LIMIT);
        now.since(self.view.targets_at) > TAKEOVER_AGE + delay
    }

    /// Whether this node is one of those that read targets for the whole fleet: the coordinators of
    /// two failure domains or, if there is only one domain, the first two nodes of its ranking.
    pub fn is_target_reader(&mut self, now: ClockTime) -> bool {
        let Some(own_rank) = self.coordinator_rank(now) else {
            return false;
        };
        let mut domains = self.peers.domains(now);
        domains.push(self.domain.clone());
        domains.sort();
        domains.dedup();
        let names = domains.iter().map(DomainName::as_str);
        let ranked = rank_owners(READER_RANK_KEY, names);
        let domain_rank = ranked.iter().position(|name| *name == self.domain.as_str());
        match domains.len() {
            1 => own_rank < TARGET_READERS,
            _ => own_rank == 0 && domain_rank.is_some_and(|rank| rank < TARGET_READERS),
        }
    }

    /// Whether neither the store nor a peer has confirmed the targets for so long that engines have
    /// to be asked whether they leave.
    pub fn lacks_target_updates(&self, now: ClockTime) -> bool {
        let limit = match self.view.guard.is_store_lost() {
            true => OUTAGE_STALE_AGE,
            false => STALE_AGE,
        };
        now.since(self.view.targets_at) > limit
    }

    /// Applies new settings, of which only the seeds and the retry budget can change; returns
    /// whether they did.
    pub fn apply_settings(&mut self, settings: &GatewaySettings) -> bool {
        let changed = self.peers.set_seeds(settings.seeds.clone());
        if self.retry == settings.retry {
            return changed;
        }
        self.retry = settings.retry;
        let retry = settings.retry;
        self.retry_share
            .set_budget(retry.ratio, retry.extra, retry.window);
        true
    }

    /// Whether a call that begins now can end before the process stops.
    pub fn can_finish(&self, now: ClockTime, times: CallTimes) -> bool {
        let plan = self.stop_plan.as_ref();
        plan.is_none_or(|plan| plan.can_finish(now, times))
    }

    /// Number of nodes among which budgets are divided, this one included. In a large fleet, a node
    /// hears only some of the others itself.
    pub fn sharing_nodes(&self, now: ClockTime) -> usize {
        let heard = self.peers.sharing_nodes(now);
        heard.max(self.reach.fleet_size() as usize)
    }

    /// Takes one retry to a service from this node's share of the budget; `false` if it is used up.
    pub fn take_retry(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        let nodes = self.sharing_nodes(now);
        self.retry_share.try_take(now, service, nodes)
    }
}
