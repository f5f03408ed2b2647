use std::collections::{BTreeSet, HashMap};

use base::{
    ClockTime, DomainName, ErrorKind, NodeName, RequestId, TargetName, TimeSpan, TokenCount,
    WorkspaceName,
};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::{PeerTable, PolicySettings, PoolTable, PriorityLevels, StreamState};
use crate::{
    DispatchOutcome, GrowthCurve, LengthCalibration, LengthPredictor, LoadReport, PeerDigest,
    PrefixTable, QueuePosition, QueuedItem, RoutePolicy, SchedAction, TargetInfo, TargetTable,
    WorkItem,
};

/// Number of requests of one workspace at this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkspaceLoad {
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that were dispatched and have not finished.
    pub in_flight: u32,
}

/// Dispatches a request to a target whose predicted peak memory use leaves room for it; other
/// requests wait in queues at the node.
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
    pub(super) settings: PolicySettings,
    pub(super) node: NodeName,
    pub(super) domain: DomainName,
    pub(super) random: Pcg64,
    pub(super) lengths: LengthPredictor,
    /// Last list of targets, to skip updates that change nothing.
    pub(super) listed_targets: Vec<TargetInfo>,
    pub(super) targets: TargetTable,
    pub(super) pools: PoolTable,
    pub(super) peers: PeerTable,
    pub(super) prefixes: PrefixTable,
    /// Pool, queue position and expiry of each waiting request.
    pub(super) waiting: HashMap<RequestId, (usize, QueuePosition, ClockTime)>,
    /// Waiting requests by expiry.
    pub(super) expiries: BTreeSet<(ClockTime, RequestId)>,
    /// Dispatched requests that have not finished.
    pub(super) streams: HashMap<RequestId, StreamState>,
    pub(super) workspaces: HashMap<WorkspaceName, WorkspaceLoad>,
    /// Sum of the growth curves of the streams that have produced a token.
    pub(super) running_growth: GrowthCurve,
    /// Sequence number of the last published digest.
    pub(super) digest_sequence: u64,
    pub(super) next_digest_at: ClockTime,
    /// Earliest time of the next probe; lies in the past while a burst is available.
    pub(super) next_probe_at: ClockTime,
    pub(super) actions: Vec<SchedAction>,
}

impl PeakPolicy {
    /// Creates the policy of one node; equal seeds and events produce equal actions.
    pub fn new(settings: PolicySettings, node: NodeName, domain: DomainName, seed: u64) -> Self {
        Self {
            settings,
            node,
            domain,
            random: Pcg64::seed_from_u64(seed),
            lengths: LengthPredictor::new(),
            listed_targets: Vec::new(),
            targets: TargetTable::default(),
            pools: PoolTable::default(),
            peers: PeerTable::default(),
            prefixes: PrefixTable::default(),
            waiting: HashMap::new(),
            expiries: BTreeSet::new(),
            streams: HashMap::new(),
            workspaces: HashMap::new(),
            running_growth: GrowthCurve::default(),
            digest_sequence: 0,
            next_digest_at: ClockTime::ZERO,
            next_probe_at: ClockTime::ZERO,
            actions: Vec::new(),
        }
    }

    /// Accuracy of the predicted output lengths.
    pub fn calibration(&self) -> LengthCalibration {
        self.lengths.calibration()
    }

    /// Number of requests that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Number of requests that were dispatched and have not finished.
    pub fn stream_count(&self) -> usize {
        self.streams.len()
    }

    /// Updates the target slots of a pool after a change of the target list.
    pub(super) fn resolve_pool(&mut self, pool: usize) {
        self.pools
            .pool_mut(pool)
            .resolve(&self.targets, &self.domain);
    }
}

impl RoutePolicy for PeakPolicy {
    fn on_targets(&mut self, now: ClockTime, targets: &[TargetInfo]) {
        if self.listed_targets == targets {
            return;
        }
        self.listed_targets = targets.to_vec();
        self.peers.clear(now, &mut self.targets);
        if self.targets.replace(now, targets) {
            self.prefixes.clear();
        }
        for pool in 0..self.pools.len() {
            self.resolve_pool(pool);
        }
        self.dispatch_all(now);
    }

    fn on_report(&mut self, now: ClockTime, report: LoadReport) {
        let Some(slot) = self.targets.slot(&report.target) else {
            return;
        };
        let state = self.targets.state_mut(slot);
        if state.view.apply_report(&report) > 0 {
            state.health.on_preemptions(now);
        }
        state.reported_at = Some(now);
        state.report_uses = 0;
        self.dispatch_for_slot(now, slot);
    }

    fn on_digest(&mut self, now: ClockTime, digest: PeerDigest) {
        if digest.node != self.node {
            self.peers.apply(now, digest, &mut self.targets);
        }
    }

    fn submit(&mut self, now: ClockTime, item: WorkItem) {
        let request = item.request.clone();
        if self.waiting.contains_key(&request) || self.streams.contains_key(&request) {
            return;
        }
        let pool = self.pools.find(now, &item.candidates);
        self.resolve_pool(pool);
        if !self.has_usable_target(pool, &item.excluded) {
            return self.refuse(request, ErrorKind::NoTarget, TimeSpan::from_secs(5));
        }
        self.probe(now, pool);
        let queue_limit = item.queue_limit;
        let queued = QueuedItem::predict(item, &self.lengths, &self.settings);
        let load = self
            .workspaces
            .entry(queued.item.workspace.clone())
            .or_default();
        load.waiting += 1;
        let paused = load.in_flight >= queued.item.stream_limit;
        let entry = (pool, QueuePosition::of(&queued), queued.expiry);
        self.expiries.insert((queued.expiry, request.clone()));
        self.waiting.insert(request.clone(), entry);
        self.pools.pool_mut(pool).queue.push(queued, paused);
        self.dispatch_waiting(now, pool);
        self.check_admission(now, &request, queue_limit);
    }

    fn withdraw(&mut self, now: ClockTime, request: &RequestId) {
        if let Some((pool, _, _)) = self.waiting.get(request) {
            let pool = *pool;
            self.remove_waiting(request);
            self.dispatch_waiting(now, pool);
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
            view.mark_started(now, &stream.growth);
            self.running_growth += &stream.growth;
        }
        if let Some(growth) = stream.record_progress(produced.0) {
            view.update_stream(now, &stream.growth, &growth);
            self.running_growth -= &stream.growth;
            self.running_growth += &growth;
            stream.growth = growth;
        }
        let priority = PriorityLevels::for_tokens(produced.0);
        if priority == stream.priority {
            return;
        }
        stream.priority = priority;
        self.actions.push(SchedAction::SetPriority {
            request: request.clone(),
            priority,
        });
    }

    fn on_finished(&mut self, now: ClockTime, request: &RequestId, outcome: DispatchOutcome) {
        let Some(stream) = self.streams.remove(request) else {
            return;
        };
        if stream.started {
            self.running_growth -= &stream.growth;
        }
        let target = self.targets.state_mut(stream.slot);
        target
            .view
            .remove_stream(now, &stream.growth, stream.started);
        match outcome {
            DispatchOutcome::Complete => target.health.on_success(now),
            DispatchOutcome::NotAdmitted => target.health.on_full(now),
            DispatchOutcome::Failed => target.health.on_failure(now),
            DispatchOutcome::Cancelled => {}
        }
        if outcome == DispatchOutcome::Complete && stream.model.is_some() {
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
                return self.dispatch_all(now);
            }
        }
        self.dispatch_for_slot(now, stream.slot);
    }

    fn on_cache_event(&mut self, _now: ClockTime, target: &TargetName, prefix: u64, held: bool) {
        if let Some(slot) = self.targets.slot(target) {
            self.prefixes.record(prefix, slot, held);
        }
    }

    fn on_tick(&mut self, now: ClockTime) {
        let max_age = self.settings.digest_max_age;
        self.peers.expire(now, max_age, &mut self.targets);
        self.refuse_expired(now);
        self.dispatch_all(now);
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
