use std::collections::{BTreeSet, HashMap};

use base::{
    ClockTime, DomainName, ErrorKind, NodeName, RequestId, TargetName, TimeSpan, TokenCount,
    WorkspaceName,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::{
    CoordinationMode, LimitClass, PeerTable, PolicySettings, PoolTable, PriorityLadder,
    StreamState, TargetChoice, TargetRating,
};
use crate::{
    FinishState, GrowthCurve, GrowthOutlook, LengthCalibration, LengthModel, LoadReport,
    PeerDigest, PrefixTable, QueueHead, QueueLane, QueuedItem, RoutePolicy, SchedAction,
    TargetDigest, TargetInfo, TargetTable, WorkItem,
};

/// Longest output that is reckoned with.
const LENGTH_CAP: u32 = (1 << 17) - 1;
/// Prompt tokens that cost as much as one output token.
const PROMPT_PER_COST: u64 = 16;
/// Requests at the head of workspaces that are tried when the first ones exclude targets.
const HEAD_TRIES: usize = 4;
/// Bytes of a digest on the wire without its entries, with HTTP framing and authentication.
const DIGEST_BYTES: u64 = 64;
/// Bytes of one target in a digest on the wire.
const DIGEST_ENTRY_BYTES: u64 = 20;
/// Time for which unused probes are saved up.
const PROBE_BURST: TimeSpan = TimeSpan::new(500);
/// Bounds of the advice when to come back.
const RETRY_BOUNDS: (TimeSpan, TimeSpan) = (TimeSpan::from_secs(1), TimeSpan::from_secs(120));

#[derive(Clone, Copy, Debug, Default)]
struct WorkspaceLoad {
    waiting: u32,
    in_flight: u32,
}

/// Admits a request when the predicted peak of memory leaves room, else lets it wait at the node.
///
/// ```
/// use base::ClockTime;
/// use sched::{PeakPolicy, PolicySettings, RoutePolicy};
/// let node = "kanchan-1".parse().unwrap();
/// let domain = "patan".parse().unwrap();
/// let mut policy = PeakPolicy::new(PolicySettings::default(), node, domain, 7);
/// policy.on_targets(ClockTime::ZERO, &[]);
/// let mut actions = Vec::new();
/// policy.drain_actions(&mut actions);
/// assert!(actions.is_empty());
/// ```
#[derive(Debug)]
pub struct PeakPolicy {
    settings: PolicySettings,
    node: NodeName,
    domain: DomainName,
    random: Pcg64,
    lengths: LengthModel,
    listed: Vec<TargetInfo>,
    targets: TargetTable,
    pools: PoolTable,
    peers: PeerTable,
    prefixes: PrefixTable,
    waiting: HashMap<RequestId, (usize, QueueHead, ClockTime)>,
    expiries: BTreeSet<(ClockTime, RequestId)>,
    streams: HashMap<RequestId, StreamState>,
    workspaces: HashMap<WorkspaceName, WorkspaceLoad>,
    running: GrowthCurve,
    sequence: u64,
    digest_at: ClockTime,
    probe_at: ClockTime,
    actions: Vec<SchedAction>,
}

impl PeakPolicy {
    /// Creates the policy of one node; equal seeds and events give equal actions.
    pub fn new(settings: PolicySettings, node: NodeName, domain: DomainName, seed: u64) -> Self {
        Self {
            settings,
            node,
            domain,
            random: Pcg64::seed_from_u64(seed),
            lengths: LengthModel::new(),
            listed: Vec::new(),
            targets: TargetTable::default(),
            pools: PoolTable::default(),
            peers: PeerTable::default(),
            prefixes: PrefixTable::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            streams: HashMap::new(),
            workspaces: HashMap::new(),
            running: GrowthCurve::default(),
            sequence: 0,
            digest_at: ClockTime::ZERO,
            probe_at: ClockTime::ZERO,
            actions: Vec::new(),
        }
    }

    /// How well predicted lengths matched.
    pub fn calibration(&self) -> LengthCalibration {
        self.lengths.calibration()
    }

    /// Requests that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that were dispatched and have not finished.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    fn predict(&self, item: WorkItem) -> QueuedItem {
        let most = item.max_tokens.map(|most| most.0);
        let cap = most.map_or(LENGTH_CAP, |most| most.min(LENGTH_CAP));
        let model = item.model.as_ref();
        let curve = self.lengths.curve(&item.workspace, model, item.kind, cap);
        let mean = curve.mean_remaining(0, cap);
        let prompt = item.prompt_tokens.0;
        let growth = match item.model {
            Some(_) => GrowthCurve::of_stream(&curve, prompt, 0, cap),
            None => GrowthCurve::default(),
        };
        let quick = mean <= f64::from(self.settings.quick_tokens);
        let lane = if quick {
            QueueLane::Quick
        } else {
            QueueLane::Long
        };
        let cost = 1 + mean as u64 + u64::from(prompt) / PROMPT_PER_COST;
        let patience = match lane {
            QueueLane::Quick => self.settings.quick_wait,
            QueueLane::Long => self.settings.long_wait,
        };
        let expiry = item.arrival + patience;
        QueuedItem {
            curve,
            growth,
            cap,
            cost,
            lane,
            expiry: item
                .deadline
                .map_or(expiry, |deadline| deadline.min(expiry)),
            rank: item.arrival.as_millis() + cost * self.settings.token_delay_ms,
            item,
        }
    }

    fn refuse(&mut self, request: RequestId, kind: ErrorKind, retry_after: TimeSpan) {
        let retry_after = retry_after.clamp(RETRY_BOUNDS.0, RETRY_BOUNDS.1);
        self.actions.push(SchedAction::Refuse {
            request,
            kind,
            retry_after,
        });
    }

    fn has_target(&self, pool: usize, excluded: &[TargetName]) -> bool {
        let pool = self.pools.pool(pool);
        let mut slots = pool.local.iter().chain(&pool.remote);
        slots.any(|slot| {
            let state = self.targets.state(*slot);
            state.usable && !excluded.contains(&state.target)
        })
    }

    /// Expected wait of a request that waits in a pool already.
    fn expected_wait(&self, pool: usize, head: &QueueHead) -> TimeSpan {
        let pool = self.pools.pool(pool);
        let (own, workspaces) = pool.queue.cost_of(&head.workspace);
        let ahead = pool.queue.cost_ahead(head.lane);
        pool.drain.wait_for(ahead.min(own * workspaces as u64))
    }

    /// Refuses a request that has just joined a queue if it would wait too long.
    fn check_queue(&mut self, now: ClockTime, request: &RequestId, queue_limit: u32) {
        let Some((pool, head, expiry)) = self.waiting.get(request) else {
            return;
        };
        let wait = self.expected_wait(*pool, head);
        let load = self.workspaces.get(&head.workspace).copied();
        let over = load.is_some_and(|load| load.waiting > queue_limit);
        let late = now + wait > *expiry;
        let kind = match (over, late) {
            (true, _) => ErrorKind::WorkspaceLimit,
            (false, true) => ErrorKind::Overloaded,
            (false, false) => return,
        };
        self.take_waiting(request);
        self.refuse(request.clone(), kind, wait);
    }

    /// Takes a request out of its queue without serving it.
    fn take_waiting(&mut self, request: &RequestId) -> Option<QueuedItem> {
        let (pool, head, expiry) = self.waiting.remove(request)?;
        self.expiries.remove(&(expiry, request.clone()));
        self.leave_queue(&head.workspace);
        self.pools.pool_mut(pool).queue.remove(&head)
    }

    fn leave_queue(&mut self, workspace: &WorkspaceName) {
        let Some(load) = self.workspaces.get_mut(workspace) else {
            return;
        };
        load.waiting -= 1;
        if load.waiting + load.in_flight == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Dispatches from a queue until nothing fits.
    fn serve(&mut self, now: ClockTime, pool: usize) {
        while self.serve_next(now, pool) {}
    }

    fn serve_next(&mut self, now: ClockTime, pool: usize) -> bool {
        let queue = &self.pools.pool(pool).queue;
        if queue.is_empty() {
            return false;
        }
        let patience = self.settings.starve_after;
        let starved = queue
            .head(QueueLane::Long)
            .is_some_and(|queued| now >= ClockTime::new(queued.rank) + patience);
        let lanes = match starved {
            true => [QueueLane::Long, QueueLane::Quick],
            false => [QueueLane::Quick, QueueLane::Long],
        };
        let found = lanes
            .into_iter()
            .find_map(|lane| self.find_next(now, pool, lane, starved));
        let Some((head, slot)) = found else {
            return false;
        };
        self.dispatch(now, pool, &head, slot);
        true
    }

    fn find_next(
        &mut self,
        now: ClockTime,
        pool: usize,
        lane: QueueLane,
        starved: bool,
    ) -> Option<(QueueHead, usize)> {
        let growth = GrowthOutlook::of_running(&self.running);
        let class = LimitClass::of_lane(lane, starved);
        let pool = self.pools.pool(pool);
        for queued in pool.queue.heads(lane).take(HEAD_TRIES) {
            let rating = TargetRating {
                settings: &self.settings,
                now,
                queued,
                class,
                growth,
            };
            let choice = TargetChoice {
                pool,
                targets: &self.targets,
                prefixes: &self.prefixes,
                rating,
            };
            if let Some(slot) = choice.choose(&mut self.random) {
                return Some((QueueHead::of_item(queued), slot));
            }
            if queued.item.excluded.is_empty() {
                return None;
            }
        }
        None
    }

    fn dispatch(&mut self, now: ClockTime, pool: usize, head: &QueueHead, slot: usize) {
        let Some((_, _, expiry)) = self.waiting.remove(&head.request) else {
            return;
        };
        self.expiries.remove(&(expiry, head.request.clone()));
        let pool = self.pools.pool_mut(pool);
        let Some(queued) = pool.queue.serve(head) else {
            return;
        };
        match pool.queue.is_empty() {
            true => pool.drain.skip(now),
            false => pool.drain.add(now, queued.cost),
        }
        let load = self.workspaces.entry(head.workspace.clone()).or_default();
        load.waiting -= 1;
        load.in_flight += 1;
        if load.in_flight >= queued.item.stream_limit {
            self.pause_workspace(&head.workspace, true);
        }
        self.prefixes.note(queued.item.prefix, slot, true);
        let stream = StreamState::new(slot, queued);
        let state = self.targets.state_mut(slot);
        state.view.add_stream(&stream.growth);
        state.report_uses += 1;
        self.actions.push(SchedAction::Dispatch {
            request: head.request.clone(),
            target: state.target.clone(),
            priority: stream.priority,
        });
        self.streams.insert(head.request.clone(), stream);
    }

    fn pause_workspace(&mut self, workspace: &WorkspaceName, paused: bool) {
        for pool in 0..self.pools.len() {
            self.pools
                .pool_mut(pool)
                .queue
                .set_paused(workspace, paused);
        }
    }

    fn serve_slot(&mut self, now: ClockTime, slot: usize) {
        for pool in 0..self.pools.len() {
            let state = self.pools.pool(pool);
            let touches = || state.local.contains(&slot) || state.remote.contains(&slot);
            if !state.queue.is_empty() && touches() {
                self.serve(now, pool);
            }
        }
    }

    fn serve_all(&mut self, now: ClockTime) {
        for pool in 0..self.pools.len() {
            self.serve(now, pool);
        }
    }

    fn refuse_expired(&mut self, now: ClockTime) {
        while let Some((expiry, request)) = self.expiries.first().cloned() {
            if expiry > now {
                return;
            }
            let place = self.waiting.get(&request);
            let wait = place.map(|(pool, head, _)| self.expected_wait(*pool, head));
            let queued = self.take_waiting(&request);
            let deadline = queued.and_then(|queued| queued.item.deadline);
            let kind = match deadline {
                Some(deadline) if deadline <= now => ErrorKind::DeadlineExceeded,
                _ => ErrorKind::Overloaded,
            };
            self.refuse(request, kind, wait.unwrap_or_default());
        }
    }

    /// Time until the next digest, so that sending one of this size to all peers keeps the budget.
    fn digest_interval(&self, targets: usize) -> TimeSpan {
        let bytes = DIGEST_BYTES + DIGEST_ENTRY_BYTES * targets as u64;
        let millis = bytes * self.peers.len() as u64 * 1_000 / self.settings.digest_budget.max(1);
        self.settings.digest_interval.max(TimeSpan::new(millis))
    }

    fn publish(&mut self, now: ClockTime) {
        if self.settings.mode != CoordinationMode::Digests || now < self.digest_at {
            return;
        }
        self.sequence += 1;
        let slots = (0..self.targets.len()).map(|slot| self.targets.state(slot));
        let busy = slots.filter(|state| state.view.own_count() > 0);
        let digest = busy.map(|state| TargetDigest {
            target: state.target.clone(),
            in_flight: state.view.own_count(),
            held_tokens: state.view.own().held() as u32,
            peak_tokens: state.view.own().peak() as u32,
        });
        let mut targets: Vec<_> = digest.collect();
        targets.sort_unstable_by(|left, right| left.target.cmp(&right.target));
        self.digest_at = now + self.digest_interval(targets.len());
        self.actions.push(SchedAction::Publish(PeerDigest {
            node: self.node.clone(),
            sequence: self.sequence,
            targets,
        }));
    }

    /// Asks random targets for their load, as often as the budget for probes allows.
    fn probe(&mut self, now: ClockTime, pool: usize) {
        let local = &self.pools.pool(pool).local;
        if local.is_empty() || self.settings.mode != CoordinationMode::Probes {
            return;
        }
        for _ in 0..self.settings.probe_count {
            if self.probe_at > now {
                return;
            }
            let earliest = ClockTime::ZERO + now.since(ClockTime::ZERO + PROBE_BURST);
            self.probe_at = self.probe_at.max(earliest) + self.settings.probe_interval;
            let slot = local[self.random.random_range(0..local.len())];
            let target = self.targets.state(slot).target.clone();
            self.actions.push(SchedAction::Probe(target));
        }
    }

    fn resolve_pool(&mut self, pool: usize) {
        self.pools
            .pool_mut(pool)
            .resolve(&self.targets, &self.domain);
    }
}

impl RoutePolicy for PeakPolicy {
    fn on_targets(&mut self, now: ClockTime, targets: &[TargetInfo]) {
        if self.listed == targets {
            return;
        }
        self.listed = targets.to_vec();
        self.peers.clear(now, &mut self.targets);
        if self.targets.replace(now, targets) {
            self.prefixes.clear();
        }
        for pool in 0..self.pools.len() {
            self.resolve_pool(pool);
        }
        self.serve_all(now);
    }

    fn on_report(&mut self, now: ClockTime, report: LoadReport) {
        let Some(slot) = self.targets.slot(&report.target) else {
            return;
        };
        let state = self.targets.state_mut(slot);
        if state.view.take_report(&report) > 0 {
            state.health.on_preemptions(now);
        }
        state.reported_at = Some(now);
        state.report_uses = 0;
        self.serve_slot(now, slot);
    }

    fn on_digest(&mut self, now: ClockTime, digest: PeerDigest) {
        if digest.node != self.node {
            self.peers.take(now, digest, &mut self.targets);
        }
    }

    fn submit(&mut self, now: ClockTime, item: WorkItem) {
        let request = item.request.clone();
        if self.waiting.contains_key(&request) || self.streams.contains_key(&request) {
            return;
        }
        let pool = self.pools.find(now, &item.candidates);
        self.resolve_pool(pool);
        if !self.has_target(pool, &item.excluded) {
            return self.refuse(request, ErrorKind::NoTarget, TimeSpan::from_secs(5));
        }
        self.probe(now, pool);
        let queue_limit = item.queue_limit;
        let queued = self.predict(item);
        let load = self
            .workspaces
            .entry(queued.item.workspace.clone())
            .or_default();
        load.waiting += 1;
        let paused = load.in_flight >= queued.item.stream_limit;
        let place = (pool, QueueHead::of_item(&queued), queued.expiry);
        self.expiries.insert((queued.expiry, request.clone()));
        self.waiting.insert(request.clone(), place);
        self.pools.pool_mut(pool).queue.push(queued, paused);
        self.serve(now, pool);
        self.check_queue(now, &request, queue_limit);
    }

    fn withdraw(&mut self, now: ClockTime, request: &RequestId) {
        if let Some((pool, _, _)) = self.waiting.get(request) {
            let pool = *pool;
            self.take_waiting(request);
            self.serve(now, pool);
        }
    }

    fn on_admitted(&mut self, _now: ClockTime, _request: &RequestId) {}

    fn on_progress(&mut self, now: ClockTime, request: &RequestId, produced: TokenCount) {
        let Some(stream) = self.streams.get_mut(request) else {
            return;
        };
        if produced.0 <= stream.produced {
            return;
        }
        let view = &mut self.targets.state_mut(stream.slot).view;
        if !stream.started {
            stream.started = true;
            view.start_stream(now, &stream.growth);
            self.running += &stream.growth;
        }
        if let Some(growth) = stream.advance(produced.0) {
            view.change_stream(now, &stream.growth, &growth);
            self.running -= &stream.growth;
            self.running += &growth;
            stream.growth = growth;
        }
        let priority = PriorityLadder::level(produced.0);
        if priority == stream.priority {
            return;
        }
        stream.priority = priority;
        self.actions.push(SchedAction::SetPriority {
            request: request.clone(),
            priority,
        });
    }

    fn on_finished(&mut self, now: ClockTime, request: &RequestId, state: FinishState) {
        let Some(stream) = self.streams.remove(request) else {
            return;
        };
        if stream.started {
            self.running -= &stream.growth;
        }
        let target = self.targets.state_mut(stream.slot);
        target
            .view
            .remove_stream(now, &stream.growth, stream.started);
        match state {
            FinishState::Complete => target.health.on_success(now),
            FinishState::NotAdmitted => target.health.on_full(now),
            FinishState::Failed => target.health.on_failure(now),
            FinishState::Cancelled => {}
        }
        if state == FinishState::Complete && stream.model.is_some() {
            let model = stream.model.as_ref();
            let (workspace, kind) = (&stream.workspace, stream.kind);
            self.lengths
                .observe(workspace, model, kind, stream.cap, stream.produced);
        }
        if let Some(load) = self.workspaces.get_mut(&stream.workspace) {
            load.in_flight -= 1;
            let resumed = load.in_flight + 1 == stream.stream_limit;
            if load.waiting + load.in_flight == 0 {
                self.workspaces.remove(&stream.workspace);
            } else if resumed {
                self.pause_workspace(&stream.workspace, false);
                return self.serve_all(now);
            }
        }
        self.serve_slot(now, stream.slot);
    }

    fn on_cache_event(&mut self, _now: ClockTime, target: &TargetName, prefix: u64, held: bool) {
        if let Some(slot) = self.targets.slot(target) {
            self.prefixes.note(prefix, slot, held);
        }
    }

    fn on_tick(&mut self, now: ClockTime) {
        let expiry = self.settings.digest_expiry;
        self.peers.expire(now, expiry, &mut self.targets);
        self.refuse_expired(now);
        self.serve_all(now);
        self.publish(now);
        for pool in 0..self.pools.len() {
            self.pools.pool_mut(pool).queue.prune();
        }
        self.pools.prune(now);
    }

    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>) {
        actions.append(&mut self.actions);
    }
}
