//! A reference implementation of `PeakPolicy` for the differential test.

use std::sync::Arc;

use base::{
    ClockTime, DomainName, ErrorKind, NodeName, RequestId, TargetName, TimeSpan, TokenCount,
    WorkspaceName,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use sched::*;

struct Stream {
    request: RequestId,
    item: WorkItem,
    target: TargetName,
    distribution: LengthDistribution,
    cap: u32,
    growth: GrowthCurve,
    started: bool,
    produced: u32,
    predicted_at: u32,
    priority: RequestPriority,
}

struct Target {
    info: TargetInfo,
    health: TargetHealth,
    report: Option<LoadReport>,
    unattributed_tokens: i64,
    unattributed_count: u32,
    reported_at: Option<ClockTime>,
    report_uses: u32,
    samples: Vec<(ClockTime, u64, u32)>,
}

struct Pool {
    candidates: Arc<[TargetName]>,
    items: Vec<QueuedItem>,
    starts: Vec<(WorkspaceName, u64)>,
    share: FairShare,
    drain: DrainRate,
}

/// The policy implemented with linear scans over the full state, without caches or indexes.
pub struct NaivePolicy {
    settings: PolicySettings,
    node: NodeName,
    domain: DomainName,
    random: Pcg64,
    lengths: LengthPredictor,
    listed_targets: Vec<TargetInfo>,
    had_targets: bool,
    targets: Vec<Target>,
    pools: Vec<Pool>,
    streams: Vec<Stream>,
    digests: Vec<(ClockTime, PeerDigest)>,
    prefixes: Vec<(u64, TargetName)>,
    digest_sequence: u64,
    next_digest_at: ClockTime,
    next_probe_at: ClockTime,
    actions: Vec<SchedAction>,
}

impl NaivePolicy {
    pub fn new(settings: PolicySettings, node: NodeName, domain: DomainName, seed: u64) -> Self {
        Self {
            settings,
            node,
            domain,
            random: Pcg64::seed_from_u64(seed),
            lengths: LengthPredictor::new(),
            listed_targets: Vec::new(),
            had_targets: false,
            targets: Vec::new(),
            pools: Vec::new(),
            streams: Vec::new(),
            digests: Vec::new(),
            prefixes: Vec::new(),
            digest_sequence: 0,
            next_digest_at: ClockTime::ZERO,
            next_probe_at: ClockTime::ZERO,
            actions: Vec::new(),
        }
    }

    fn target(&self, name: &TargetName) -> Option<usize> {
        self.targets
            .iter()
            .position(|target| target.info.target == *name)
    }

    fn own(&self, name: &TargetName) -> impl Iterator<Item = &Stream> {
        self.streams
            .iter()
            .filter(move |stream| stream.target == *name)
    }

    fn own_growth(&self, name: &TargetName) -> GrowthCurve {
        let mut sum = GrowthCurve::default();
        self.own(name).for_each(|stream| sum += &stream.growth);
        sum
    }

    fn peers(&self, name: &TargetName) -> (u64, u32) {
        let entries = self.digests.iter().flat_map(|(_, digest)| &digest.targets);
        let entries = entries.filter(|entry| entry.target == *name);
        entries.fold((0, 0), |(held, count), entry| {
            (held + u64::from(entry.held_tokens), count + entry.in_flight)
        })
    }

    fn sample(&mut self, now: ClockTime, name: &TargetName) {
        let (peer_held, peer_count) = self.peers(name);
        let started = self.own(name).filter(|stream| stream.started);
        let (held, count) = started.fold((peer_held, peer_count), |(held, count), stream| {
            (held + stream.growth.held(), count + 1)
        });
        let Some(at) = self.target(name) else {
            return;
        };
        let samples = &mut self.targets[at].samples;
        match samples.last_mut() {
            Some(last) if now.since(last.0).as_millis() < 25 => (last.1, last.2) = (held, count),
            _ => samples.push((now, held, count)),
        }
    }

    fn sequences(&self, at: usize) -> u32 {
        let target = &self.targets[at];
        let name = &target.info.target;
        self.own(name).count() as u32 + self.peers(name).1 + target.unattributed_count
    }

    fn growth_estimate(&self) -> GrowthEstimate {
        let mut sum = GrowthCurve::default();
        let started = self.streams.iter().filter(|stream| stream.started);
        started.for_each(|stream| sum += &stream.growth);
        GrowthEstimate::from_running(&sum)
    }

    fn allowed(&self, now: ClockTime, at: usize, item: &WorkItem) -> bool {
        let target = &self.targets[at];
        target.info.usable
            && target.health.is_available(now)
            && !item.excluded.contains(&target.info.target)
    }

    fn score(
        &self,
        now: ClockTime,
        at: usize,
        queued: &QueuedItem,
        class: LimitClass,
        remote: bool,
    ) -> Option<u64> {
        let target = &self.targets[at];
        let name = &target.info.target;
        if !self.allowed(now, at, &queued.item) {
            return None;
        }
        let settings = &self.settings;
        let own = self.own_growth(name).peak_with(&queued.growth);
        let pages = target.report.as_ref();
        let total = pages.map_or(0, |report| {
            u64::from(report.total_pages) * u64::from(report.page_tokens)
        });
        if remote && total > 0 && own as f64 > total as f64 * settings.remote_own_share {
            return None;
        }
        let sequences = self.sequences(at);
        let mine = self.own(name).count() as u32;
        if queued.item.model.is_none() {
            return (mine < settings.service_stream_limit).then(|| u64::from(sequences) * 10);
        }
        let held = |entry: &(u64, TargetName)| entry.0 == queued.item.prefix && entry.1 == *name;
        let held = self.prefixes.iter().any(held) && !remote;
        let factor = if queued.lane == QueueLane::Quick {
            4
        } else {
            1
        };
        let bonus = if held {
            settings.prefix_bonus * factor
        } else {
            0
        };
        if total == 0 {
            let score = (500 + u64::from(sequences) * 10).saturating_sub(bonus);
            return (mine < settings.unreported_stream_limit).then_some(score);
        }
        let waiting = self.own(name).filter(|stream| !stream.started);
        let unstarted: u64 = waiting.map(|stream| stream.growth.held()).sum();
        let prefill = unstarted + u64::from(queued.item.prompt_tokens.0);
        if sequences >= settings.sequence_limit
            || (unstarted > 0 && prefill > settings.prefill_limit)
        {
            return None;
        }
        let whole = match class {
            LimitClass::Full => settings.memory_share,
            LimitClass::Reduced => settings.memory_share - settings.quick_reserve,
        };
        let share = whole * target.health.limit_share(now, settings.slow_start_time);
        let part = if remote {
            settings.remote_load_limit
        } else {
            1.0
        };
        let limit = (total as f64 * part * share) as u64;
        let growth_estimate = self.growth_estimate();
        let others = self.peers(name).0 as i64 + target.unattributed_tokens;
        let peak = match others < 0 {
            true => own.saturating_sub(others.unsigned_abs()),
            false => own + (others as f64 * growth_estimate.factor) as u64,
        };
        let deviation =
            (peak as f64 * growth_estimate.variance).sqrt() * settings.deviation_reserve;
        let needed = peak + deviation as u64;
        if needed > limit && sequences > 0 {
            return None;
        }
        let score = match queued.lane {
            QueueLane::Quick => u64::from(sequences) * 14 + prefill + peak / 500,
            QueueLane::Long => {
                needed * 1_000 / limit.max(1) + u64::from(sequences) * 4 + prefill / 16
            }
        };
        Some(score.saturating_sub(bonus))
    }

    fn best(
        &mut self,
        slots: &[usize],
        score: impl Fn(&Self, usize) -> Option<u64>,
    ) -> Option<usize> {
        if slots.is_empty() {
            return None;
        }
        let start = self.random.random_range(0..slots.len());
        let mut best: Option<(u64, usize)> = None;
        for step in 0..slots.len() {
            if step >= 128 && best.is_some() {
                break;
            }
            let at = slots[(start + step) % slots.len()];
            let Some(score) = score(self, at) else {
                continue;
            };
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, at));
            }
        }
        best.map(|(_, at)| at)
    }

    fn better_of_two(
        &mut self,
        slots: &[usize],
        score: impl Fn(&Self, usize) -> Option<u64>,
    ) -> Option<usize> {
        for _ in 0..3 {
            let pair = [(); 2].map(|_| slots[self.random.random_range(0..slots.len())]);
            let [first, second] = pair.map(|at| score(self, at));
            match (first, second) {
                (Some(first), Some(second)) if second < first => return Some(pair[1]),
                (Some(_), _) => return Some(pair[0]),
                (None, Some(_)) => return Some(pair[1]),
                (None, None) => {}
            }
        }
        self.best(slots, score)
    }

    fn select(&mut self, now: ClockTime, queued: &QueuedItem, class: LimitClass) -> Option<usize> {
        let names = queued.item.candidates.clone();
        let known: Vec<_> = names.iter().filter_map(|name| self.target(name)).collect();
        let is_local = |at: &usize| self.targets[*at].info.domain == self.domain;
        let (local, remote): (Vec<_>, Vec<_>) = known.into_iter().partition(is_local);
        let has_local = local.iter().any(|at| self.allowed(now, *at, &queued.item));
        let near = |policy: &Self, at: usize| policy.score(now, at, queued, class, false);
        let found = match self.settings.mode {
            _ if !has_local => None,
            CoordinationMode::TwoChoices => self.better_of_two(&local, near),
            CoordinationMode::Probes => {
                let probed = self.best(&local, |policy, at| {
                    let target = &policy.targets[at];
                    let age = target.reported_at.map(|at| now.since(at));
                    let fresh = age.is_some_and(|age| age <= policy.settings.probe_max_age);
                    let unused = target.report_uses < policy.settings.probe_use_limit;
                    if fresh && unused {
                        near(policy, at)
                    } else {
                        None
                    }
                });
                probed.or_else(|| self.better_of_two(&local, near))
            }
            _ => self.best(&local, near),
        };
        let waited = now.since(queued.item.arrival);
        if found.is_some() || (has_local && waited < self.settings.spill_after) {
            return found;
        }
        self.best(&remote, |policy, at| {
            policy.score(now, at, queued, class, true)
        })
    }

    fn in_flight(&self, workspace: &WorkspaceName) -> u32 {
        let own = |stream: &&Stream| stream.item.workspace == *workspace;
        self.streams.iter().filter(own).count() as u32
    }

    /// The first request of each workspace in a lane, in the order of service.
    fn heads(&self, pool: usize, lane: QueueLane) -> Vec<QueuedItem> {
        let pool = &self.pools[pool];
        let mut starts = pool.starts.clone();
        starts.sort_by(|left, right| (left.1, &left.0).cmp(&(right.1, &right.0)));
        let heads = starts.iter().filter_map(|(name, _)| {
            let items = pool.items.iter();
            let items =
                items.filter(|queued| queued.item.workspace == *name && queued.lane == lane);
            let items = items.filter(|queued| self.in_flight(name) < queued.item.stream_limit);
            items
                .min_by_key(|queued| (queued.rank, queued.item.request.clone()))
                .cloned()
        });
        heads.collect()
    }

    fn dispatch_waiting(&mut self, now: ClockTime, pool: usize) {
        while self.dispatch_next(now, pool) {}
    }

    fn dispatch_next(&mut self, now: ClockTime, pool: usize) -> bool {
        let starve_after = self.settings.starve_after;
        let oldest = self.heads(pool, QueueLane::Long).into_iter().next();
        let starved =
            oldest.is_some_and(|queued| now >= ClockTime::new(queued.rank) + starve_after);
        let mut lanes = [QueueLane::Quick, QueueLane::Long];
        if starved {
            lanes.reverse();
        }
        for lane in lanes {
            let class = LimitClass::of_lane(lane, starved);
            for queued in self.heads(pool, lane).into_iter().take(4) {
                if let Some(at) = self.select(now, &queued, class) {
                    self.dispatch(now, pool, queued, at);
                    return true;
                }
                if queued.item.excluded.is_empty() {
                    break;
                }
            }
        }
        false
    }

    fn remove_item(&mut self, request: &RequestId) -> Option<(usize, QueuedItem)> {
        for (at, pool) in self.pools.iter_mut().enumerate() {
            let found = pool
                .items
                .iter()
                .position(|queued| queued.item.request == *request);
            let Some(place) = found else {
                continue;
            };
            let queued = pool.items.remove(place);
            let name = &queued.item.workspace;
            if !pool.items.iter().any(|other| other.item.workspace == *name) {
                pool.starts.retain(|(other, _)| other != name);
            }
            return Some((at, queued));
        }
        None
    }

    fn dispatch(&mut self, now: ClockTime, pool: usize, queued: QueuedItem, at: usize) {
        self.remove_item(&queued.item.request);
        let name = queued.item.workspace.clone();
        let state = &mut self.pools[pool];
        state.share.charge(&name, queued.item.weight, queued.cost);
        let finish = state.share.start_of(&name);
        if let Some(entry) = state.starts.iter_mut().find(|(other, _)| *other == name) {
            entry.1 = finish;
        }
        match state.items.is_empty() {
            true => state.drain.skip_idle(now),
            false => state.drain.record(now, queued.cost),
        }
        let target = self.targets[at].info.target.clone();
        self.record_prefix(queued.item.prefix, &target, true);
        self.targets[at].report_uses += 1;
        self.actions.push(SchedAction::Dispatch {
            request: queued.item.request.clone(),
            target: target.clone(),
            priority: RequestPriority(0),
        });
        self.streams.push(Stream {
            request: queued.item.request.clone(),
            item: queued.item,
            target,
            distribution: queued.distribution,
            cap: queued.cap,
            growth: queued.growth,
            started: false,
            produced: 0,
            predicted_at: 0,
            priority: RequestPriority(0),
        });
    }

    fn record_prefix(&mut self, prefix: u64, target: &TargetName, held: bool) {
        if prefix == 0 {
            return;
        }
        self.prefixes
            .retain(|entry| *entry != (prefix, target.clone()));
        if !held {
            return;
        }
        let holders = self
            .prefixes
            .iter()
            .filter(|entry| entry.0 == prefix)
            .count();
        if holders == 4 {
            let oldest = self.prefixes.iter().position(|entry| entry.0 == prefix);
            self.prefixes.remove(oldest.unwrap());
        }
        self.prefixes.push((prefix, target.clone()));
    }

    fn dispatch_for_target(&mut self, now: ClockTime, target: &TargetName) {
        for pool in 0..self.pools.len() {
            if self.pools[pool].candidates.contains(target) {
                self.dispatch_waiting(now, pool);
            }
        }
    }

    fn dispatch_all(&mut self, now: ClockTime) {
        (0..self.pools.len()).for_each(|pool| self.dispatch_waiting(now, pool));
    }

    fn expected_wait(&self, pool: usize, queued: &QueuedItem) -> TimeSpan {
        let pool = &self.pools[pool];
        let sum = |wanted: &dyn Fn(&QueuedItem) -> bool| -> u64 {
            let items = pool.items.iter().filter(|other| wanted(other));
            items.map(|other| other.cost).sum()
        };
        let own = sum(&|other| other.item.workspace == queued.item.workspace);
        let ahead = sum(&|other| other.lane <= queued.lane);
        pool.drain
            .time_to_drain(ahead.min(own * pool.starts.len() as u64))
    }

    fn refuse(&mut self, request: RequestId, kind: ErrorKind, wait: TimeSpan) {
        let retry_after = wait.clamp(TimeSpan::from_secs(1), TimeSpan::from_secs(120));
        self.actions.push(SchedAction::Refuse {
            request,
            kind,
            retry_after,
        });
    }

    fn remove_digests(
        &mut self,
        now: ClockTime,
        is_removed: impl Fn(&(ClockTime, PeerDigest)) -> bool,
    ) {
        let (removed, kept) = std::mem::take(&mut self.digests)
            .into_iter()
            .partition(|entry| is_removed(entry));
        self.digests = kept;
        let removed: Vec<(ClockTime, PeerDigest)> = removed;
        for entry in removed.iter().flat_map(|(_, digest)| &digest.targets) {
            self.sample(now, &entry.target);
        }
    }
}

impl RoutePolicy for NaivePolicy {
    fn on_targets(&mut self, now: ClockTime, targets: &[TargetInfo]) {
        if self.listed_targets == targets {
            return;
        }
        self.listed_targets = targets.to_vec();
        self.remove_digests(now, |_| true);
        for info in targets {
            if let Some(at) = self.target(&info.target) {
                let target = &mut self.targets[at];
                if info.usable && !target.info.usable {
                    target.health.begin_slow_start(now);
                }
                target.info = info.clone();
                continue;
            }
            let mut health = TargetHealth::default();
            if self.had_targets {
                health.begin_slow_start(now);
            }
            self.targets.push(Target {
                info: info.clone(),
                health,
                report: None,
                unattributed_tokens: 0,
                unattributed_count: 0,
                reported_at: None,
                report_uses: 0,
                samples: Vec::new(),
            });
        }
        self.had_targets = true;
        let count = self.targets.len();
        let listed = |name: &TargetName| targets.iter().any(|info| info.target == *name);
        for target in &mut self.targets {
            target.info.usable &= listed(&target.info.target);
        }
        let streams = &self.streams;
        self.targets.retain(|target| {
            let name = &target.info.target;
            listed(name) || streams.iter().any(|stream| stream.target == *name)
        });
        if self.targets.len() != count {
            self.prefixes.clear();
        }
        self.dispatch_all(now);
    }

    fn on_report(&mut self, now: ClockTime, report: LoadReport) {
        let Some(at) = self.target(&report.target) else {
            return;
        };
        let target = &mut self.targets[at];
        let last = target.report.as_ref();
        if last.is_none_or(|last| last.measured_at <= report.measured_at) {
            let before = target.samples.iter().rev();
            let sample = before
                .into_iter()
                .find(|sample| sample.0 <= report.measured_at);
            let (known, count) = sample.map_or((0, 0), |sample| (sample.1, sample.2));
            let used = u64::from(report.used_pages) * u64::from(report.page_tokens);
            target.unattributed_tokens = used as i64 - known as i64;
            target.unattributed_count = (report.running + report.waiting).saturating_sub(count);
            if last.is_some_and(|last| report.preemptions > last.preemptions) {
                target.health.on_preemptions(now);
            }
            target.report = Some(report.clone());
        }
        target.reported_at = Some(now);
        target.report_uses = 0;
        self.dispatch_for_target(now, &report.target);
    }

    fn on_digest(&mut self, now: ClockTime, digest: PeerDigest) {
        let old = self.digests.iter().find(|(_, old)| old.node == digest.node);
        let stale = old.is_some_and(|(_, old)| old.sequence >= digest.sequence);
        if digest.node == self.node || stale {
            return;
        }
        self.remove_digests(now, |(_, old)| old.node == digest.node);
        let names: Vec<_> = digest
            .targets
            .iter()
            .map(|entry| entry.target.clone())
            .collect();
        self.digests.push((now, digest));
        names.iter().for_each(|name| self.sample(now, name));
    }

    fn submit(&mut self, now: ClockTime, item: WorkItem) {
        let known = self
            .pools
            .iter()
            .position(|pool| pool.candidates == item.candidates);
        let pool = known.unwrap_or_else(|| {
            self.pools.push(Pool {
                candidates: item.candidates.clone(),
                items: Vec::new(),
                starts: Vec::new(),
                share: FairShare::default(),
                drain: DrainRate::default(),
            });
            self.pools.len() - 1
        });
        let request = item.request.clone();
        let usable = |name: &TargetName| {
            let target = self.target(name);
            target.is_some_and(|at| self.targets[at].info.usable) && !item.excluded.contains(name)
        };
        if !item.candidates.iter().any(usable) {
            return self.refuse(request, ErrorKind::NoTarget, TimeSpan::from_secs(5));
        }
        if self.settings.mode == CoordinationMode::Probes {
            let local = item.candidates.iter().filter(|name| {
                let target = self.target(name);
                target.is_some_and(|at| self.targets[at].info.domain == self.domain)
            });
            let local: Vec<_> = local.cloned().collect();
            for _ in 0..self.settings.probe_count {
                if !local.is_empty() && self.next_probe_at <= now {
                    let burst = TimeSpan::new(500);
                    let earliest = ClockTime::ZERO + now.since(ClockTime::ZERO + burst);
                    let interval = self.settings.probe_interval;
                    self.next_probe_at = self.next_probe_at.max(earliest) + interval;
                    let name = local[self.random.random_range(0..local.len())].clone();
                    self.actions.push(SchedAction::Probe(name));
                }
            }
        }
        let workspace = item.workspace.clone();
        let queue_limit = item.queue_limit;
        let queued = QueuedItem::predict(item, &self.lengths, &self.settings);
        let start = self.pools[pool].share.start_of(&workspace);
        if !self.pools[pool]
            .starts
            .iter()
            .any(|(name, _)| *name == workspace)
        {
            self.pools[pool].starts.push((workspace.clone(), start));
        }
        self.pools[pool].items.push(queued);
        self.dispatch_waiting(now, pool);
        let mut items = self.pools[pool].items.iter();
        let Some(queued) = items.find(|queued| queued.item.request == request).cloned() else {
            return;
        };
        let wait = self.expected_wait(pool, &queued);
        let all = self.pools.iter().flat_map(|pool| &pool.items);
        let waiting = all
            .filter(|other| other.item.workspace == workspace)
            .count();
        let kind = match (waiting as u32 > queue_limit, now + wait > queued.expiry) {
            (true, _) => ErrorKind::WorkspaceLimit,
            (false, true) => ErrorKind::Overloaded,
            (false, false) => return,
        };
        self.remove_item(&request);
        self.refuse(request, kind, wait);
    }

    fn withdraw(&mut self, now: ClockTime, request: &RequestId) {
        if let Some((pool, _)) = self.remove_item(request) {
            self.dispatch_waiting(now, pool);
        }
    }

    fn on_admitted(&mut self, _now: ClockTime, _request: &RequestId) {}

    fn on_progress(&mut self, now: ClockTime, request: &RequestId, produced: TokenCount) {
        let mut streams = self.streams.iter_mut();
        let Some(stream) = streams.find(|stream| stream.request == *request) else {
            return;
        };
        if produced.0 <= stream.produced {
            return;
        }
        let target = stream.target.clone();
        let first = !stream.started;
        stream.started = true;
        stream.produced = produced.0;
        let priority = PriorityLevels::for_tokens(produced.0);
        let lowered = priority != stream.priority;
        stream.priority = priority;
        if first {
            self.sample(now, &target);
        }
        let mut streams = self.streams.iter_mut();
        let stream = streams.find(|stream| stream.request == *request).unwrap();
        if produced.0 >= stream.predicted_at + 16 && stream.item.model.is_some() {
            stream.predicted_at = produced.0;
            let prompt = stream.item.prompt_tokens.0;
            stream.growth =
                GrowthCurve::for_stream(&stream.distribution, prompt, produced.0, stream.cap);
            self.sample(now, &target);
        }
        if lowered {
            self.actions.push(SchedAction::SetPriority {
                request: request.clone(),
                priority,
            });
        }
    }

    fn on_finished(&mut self, now: ClockTime, request: &RequestId, outcome: DispatchOutcome) {
        let mut streams = self.streams.iter();
        let Some(at) = streams.position(|stream| stream.request == *request) else {
            return;
        };
        let stream = self.streams.remove(at);
        let workspace = &stream.item.workspace;
        if stream.started {
            self.sample(now, &stream.target);
        }
        let target = self.target(&stream.target).unwrap();
        let health = &mut self.targets[target].health;
        match outcome {
            DispatchOutcome::Complete => health.on_success(now),
            DispatchOutcome::NotAdmitted => health.on_full(now),
            DispatchOutcome::Failed => health.on_failure(now),
            DispatchOutcome::Cancelled => {}
        }
        let model = stream.item.model.as_ref();
        if outcome == DispatchOutcome::Complete && model.is_some() {
            let kind = stream.item.kind;
            self.lengths
                .observe(workspace, model, kind, stream.cap, stream.produced);
        }
        let mut items = self.pools.iter().flat_map(|pool| &pool.items);
        let waits = items.any(|queued| queued.item.workspace == *workspace);
        let left = self.in_flight(workspace);
        if left + 1 == stream.item.stream_limit && (waits || left > 0) {
            return self.dispatch_all(now);
        }
        self.dispatch_for_target(now, &stream.target);
    }

    fn on_cache_event(&mut self, _now: ClockTime, target: &TargetName, prefix: u64, held: bool) {
        if self.target(target).is_some() {
            self.record_prefix(prefix, target, held);
        }
    }

    fn on_tick(&mut self, now: ClockTime) {
        let max_age = self.settings.digest_max_age;
        self.remove_digests(now, |(received, _)| now.since(*received) >= max_age);
        loop {
            let all = self.pools.iter().flat_map(|pool| &pool.items);
            let first = all.min_by_key(|queued| (queued.expiry, queued.item.request.clone()));
            let Some(queued) = first.filter(|queued| queued.expiry <= now).cloned() else {
                break;
            };
            let request = queued.item.request.clone();
            let pool = self
                .pools
                .iter()
                .position(|pool| pool.candidates == queued.item.candidates);
            let wait = self.expected_wait(pool.unwrap(), &queued);
            self.remove_item(&request);
            let kind = match queued.item.deadline {
                Some(deadline) if deadline <= now => ErrorKind::DeadlineExceeded,
                _ => ErrorKind::Overloaded,
            };
            self.refuse(request, kind, wait);
        }
        self.dispatch_all(now);
        if self.settings.mode != CoordinationMode::Digests || now < self.next_digest_at {
            return;
        }
        self.digest_sequence += 1;
        let mut names: Vec<_> = self
            .streams
            .iter()
            .map(|stream| stream.target.clone())
            .collect();
        names.sort();
        names.dedup();
        let bytes = 64 + 20 * names.len() as u64;
        let millis = bytes * self.digests.len() as u64 * 1_000 / self.settings.digest_budget;
        let interval = self.settings.digest_interval.max(TimeSpan::new(millis));
        self.next_digest_at = now + interval;
        let digest = |target: &TargetName| TargetDigest {
            target: target.clone(),
            in_flight: self.own(target).count() as u32,
            held_tokens: self.own_growth(target).held() as u32,
            peak_tokens: self.own_growth(target).peak() as u32,
        };
        let targets = names.iter().map(digest).collect();
        let (node, sequence) = (self.node.clone(), self.digest_sequence);
        self.actions.push(SchedAction::Publish(PeerDigest {
            node,
            sequence,
            targets,
        }));
    }

    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>) {
        actions.append(&mut self.actions);
    }
}
