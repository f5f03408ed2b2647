use base::{
    ClockTime, CoreShare, DomainName, NodeName, ServiceName, TargetName, TimeSpan, rank_owners,
};
use entry::{
    AttemptTracker, CallQueue, CoordinatorCandidate, CopyLocks, FactState, FleetReach,
    LoadBalancer, MoveScheduler, PlacementDecision, PlacementPacer, PlacementRequest,
    PlacementScope, QueueTicket, RateLedger, RetryShare, ReturnSchedule, SuspectTracker,
    TrialLedger,
};
use facts::FactLimiter;
use tokio::sync::oneshot;

use super::{CoordinatorState, PeerTable, PlacedTarget, PlacementRefusal, StopPlan, ViewState};
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
/// are asked whether they leave.
const OUTAGE_STALE_AGE: TimeSpan = TimeSpan::new(700);

/// The same time while the store answers, for nodes that do not read from it; the report of a
/// reader reaches them within 1.4 s through the coordinators.
const STALE_AGE: TimeSpan = TimeSpan::new(1_600);

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
    /// Targets with their load and health; chooses targets for calls.
    pub balancer: LoadBalancer,
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
    /// Number of calls whose answer has not begun.
    pub active_calls: usize,
    /// Times of the shutdown; set once the process is stopping.
    pub stop_plan: Option<StopPlan>,
    /// Whether a request to the store that waits for changes of targets is open.
    pub is_watching_store: bool,
    /// Number of streams that are being relayed.
    pub active_streams: usize,
    /// Own revision of the targets when a peer first reported a newer one, and when that was.
    behind_since: Option<(u64, ClockTime)>,
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
            view: ViewState::default(),
            balancer: LoadBalancer::new(settings.domain.clone(), seed),
            queue: CallQueue::default(),
            early_refusals: 0,
            queue_metrics_at: ClockTime::ZERO,
            pacer: PlacementPacer::new(seed),
            waiters: Vec::new(),
            retry_share: RetryShare::new(retry.ratio, retry.extra, retry.window),
            facts: FactState::default(),
            fact_limiters: FactLimiters::default(),
            has_peer_facts: false,
            outbox: FactOutbox::default(),
            trials: TrialLedger::default(),
            suspects: SuspectTracker::default(),
            rate_ledger: RateLedger::default(),
            reach: FleetReach::default(),
            knows_fleet_size: false,
            returns: ReturnSchedule::default(),
            attempts: AttemptTracker::default(),
            move_scheduler: MoveScheduler::new(settings.node.clone()),
            copy_locks: CopyLocks::default(),
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
                        blocked.push(lane);
                        continue;
                    }
                };
                self.answer_waiter(now, at, result);
            }
        }
    }

    /// Places queued moves of generations for which a target has capacity and off whose engine no
    /// other node copies.
    fn serve_queued_moves(&mut self, now: ClockTime) {
        let moving = self.move_scheduler.copying_sources();
        self.copy_locks.update_holder(now, &self.node, &moving);
        for ticket in self.queue.queued_moves() {
            let Some(at) = self.waiters.iter().position(|one| one.ticket == ticket) else {
                self.queue.remove(ticket);
                continue;
            };
            let waiter = &self.waiters[at];
            if !self.may_move(now, waiter.requester.as_ref(), &waiter.placement) {
                continue;
            }
            if let PlacementDecision::Target(target) =
                self.balancer.choose_target(now, &waiter.placement)
            {
                self.answer_waiter(now, at, Ok(target));
            }
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
        let source = placement.move_source.as_ref();
        source.is_none_or(|source| self.copy_locks.is_free(now, &source.target, node))
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
                self.move_scheduler
                    .add_source(now, name, &peers, engine.copy_rate);
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

    /// Whether to fetch targets from a peer that knows them up to `peer_revision`.
    ///
    /// A node that watches the store waits a little first, since the store usually answers sooner.
    pub fn should_fetch_targets(&mut self, now: ClockTime, peer_revision: u64) -> bool {
        let known = self.view.target_items.revision().unwrap_or(0);
        if peer_revision <= known {
            return false;
        }
        if known == 0 || self.view.guard.is_store_lost() || !self.is_watching_store {
            return true;
        }
        match self.behind_since {
            Some((revision, since)) if revision == known => now.since(since) >= FETCH_DELAY,
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
    pub fn confirm_targets(&mut self, now: ClockTime, revision: u64, age: Option<TimeSpan>) {
        let is_same = self.view.target_items.revision() == Some(revision);
        if let Some(age) = age.filter(|_| is_same) {
            let at = ClockTime::new(now.as_millis().saturating_sub(age.as_millis()));
            self.view.targets_at = self.view.targets_at.max(at);
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

    /// Whether a call that begins now and takes `span` can end before the process stops.
    pub fn can_finish(&self, now: ClockTime, span: TimeSpan) -> bool {
        let plan = self.stop_plan.as_ref();
        plan.is_none_or(|plan| plan.can_finish(now, span))
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
