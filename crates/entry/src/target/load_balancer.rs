use std::ops::{AddAssign, SubAssign};

use base::{
    CallRate, ClockTime, DomainName, IncarnationNumber, NodeName, ServiceName, TargetName, TimeSpan,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::{
    BackoffMemory, LoadOrigin, PeerLoads, PlacementDecision, PlacementRequest, PlacementScope,
    RefusalLimit, RefusalReport, RefusalState, TargetChanges, TargetLoad, TargetOutcome,
    TargetPhase, TargetRecord, TargetState, prefill_time,
};
use crate::{
    CapacityGrant, DomainPace, EnginePace, EngineSpec, LeaseGuard, PaceNeed, PaceReport, PaceTable,
    TargetPace,
};

/// Share of an engine's memory that calls may hold on average, by their estimates; the rest is a
/// reserve for wrong estimates.
const MEMORY_SHARE: f64 = 0.9;
/// Share of an engine's memory up to which calls with long outputs are placed, so that there is
/// always room for a quick call.
const LONG_OUTPUT_SHARE: f64 = 0.77;
/// Prompt tokens waiting for prefill at an engine from which on further calls are queued at the
/// node, where they can still go to whichever engine is free first; corresponds to half a second of
/// prefill.
const PREFILL_LIMIT: u64 = 3_500;
/// Delay in milliseconds that each running call adds to the decode steps of one output event.
const CALL_DELAY_MS: f64 = 3.0;
/// Cost in milliseconds of an engine whose memory is full, where preemptions become likely.
const MEMORY_COST_MS: f64 = 250.0;
/// Cost in milliseconds of each running call on a plain target.
const PLAIN_CALL_MS: f64 = 12.0;
/// Cost in milliseconds of a call that fails.
const FAILURE_COST_MS: f64 = 800.0;
/// Cost in milliseconds of a plain target in another failure domain: round trips and transfers.
const PLAIN_DOMAIN_COST_MS: f64 = 6.0;
/// Cost in milliseconds of an engine in another failure domain: a stream there is lost when the
/// domains are cut off from each other.
const ENGINE_DOMAIN_COST_MS: f64 = 250.0;
/// Cost in milliseconds of a target that could not be reached and has not answered since.
const UNREACHED_COST_MS: f64 = 1_000.0;
/// Cost in milliseconds of moving a generation to another failure domain, which takes twice as long
/// and delays the moves queued behind it.
const MOVE_DOMAIN_COST_MS: f64 = 400.0;
/// How often a move waits for other copies to the same engine: once for its main copy, and once for
/// the copy of the remainder, during which the generation is stopped.
const COPY_WAITS: f64 = 2.0;
/// Cost in milliseconds of a target that is still slow after its start.
const COLD_COST_MS: f64 = 40.0;
/// Targets whose cost is less than this many milliseconds above the lowest are chosen from at
/// random, so that nodes with the same view do not all choose the same target.
const TIE_MS: f64 = 20.0;
/// Expected delay caused by failures from which on it is passed on with a placement request; a
/// target without failures has 40 ms.
const MIN_REPORTED_DELAY: TimeSpan = TimeSpan::new(80);
/// Age at which the load report of a peer that sent no newer one is dropped.
const PEER_EXPIRY: TimeSpan = TimeSpan::new(2_500);

/// Largest number of refusal limits that are reported to a peer.
const REPORT_LIMIT: usize = 64;
/// Refusal limit below which a target gets calls of its own failure domain only, if each domain has one: the
/// coordinators of two domains may place calls on one slot at the same time.
const SHARED_LIMIT: RefusalLimit = RefusalLimit(5);
/// Part of the slots of a target with a refusal limit that calls of other failure domains leave free.
const REMOTE_MARGIN_PART: u32 = 4;

/// Interval at which the paces of the engines are compared again.
const COMPARE_INTERVAL: TimeSpan = TimeSpan::new(100);
/// Largest cost in milliseconds of an engine on which a generation that moves is late; below that
/// of another failure domain.
const MOVE_LATE_COST_MS: f64 = 300.0;
/// Late probability of a quick call up to which it is steered to engines that long calls avoid.
const STEERED_LATE_LIMIT: f64 = 0.1;

/// Load balancer of one node: tracks the load and health of the targets of all services and chooses
/// a target for each call.
#[derive(Debug)]
pub struct LoadBalancer {
    domain: DomainName,
    /// Sorted by name.
    pub(super) targets: Vec<TargetState>,
    /// Backoffs of targets that are not listed.
    pub(super) backoffs: BackoffMemory,
    /// Latest load report of each origin, sorted by origin.
    peers: Vec<PeerLoads>,
    own_load_version: u64,
    /// Evacuated failure domains, sorted.
    evacuated: Vec<DomainName>,
    /// Rate that each target of a service takes while it is cold, sorted by service.
    cold_rates: Vec<(ServiceName, CallRate)>,
    random: Pcg64,
    paces: PaceTable,
    /// Engines that long calls avoid or avoid no longer, not yet logged.
    pace_changes: Vec<(TargetName, TargetPace)>,
    /// When the paces of the engines were compared last.
    compared_at: ClockTime,
}

impl LoadBalancer {
    /// Creates the load balancer of a node in `domain`, without targets. Equal seeds and events
    /// give equal choices.
    ///
    /// ```
    /// let balancer = entry::LoadBalancer::new("patan".parse().unwrap(), 7);
    /// assert_eq!(balancer.targets().len(), 0);
    /// ```
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            domain,
            targets: Vec::new(),
            backoffs: BackoffMemory::default(),
            peers: Vec::new(),
            own_load_version: 0,
            evacuated: Vec::new(),
            cold_rates: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
            paces: PaceTable::default(),
            pace_changes: Vec::new(),
            compared_at: ClockTime::default(),
        }
    }

    /// All known targets, sorted by name.
    pub fn targets(&self) -> &[TargetState] {
        &self.targets
    }

    /// Finds a target by name.
    pub fn target(&self, name: &TargetName) -> Option<&TargetState> {
        self.find(name).ok().map(|at| &self.targets[at])
    }

    /// Replaces the known records by `records`, which lists all registered targets; returns what
    /// changes for targets.
    ///
    /// `guard` decides whether targets that are no longer registered count as gone at once.
    pub fn update_records(
        &mut self,
        now: ClockTime,
        records: Vec<TargetRecord>,
        guard: &LeaseGuard,
    ) -> TargetChanges {
        let mut listed: Vec<_> = records.iter().map(|record| record.name.clone()).collect();
        listed.sort();
        let mut changes = TargetChanges::default();
        for record in records {
            self.update_record(now, record, &mut changes);
        }
        self.drop_missing(now, &listed, guard, &mut changes);
        self.mark_evacuated();
        self.apply_cold_rates();
        self.recount_peer_loads();
        changes
    }

    /// Replaces the evacuated failure domains, whose targets take no calls.
    pub fn set_evacuated(&mut self, mut domains: Vec<DomainName>) {
        domains.sort();
        self.evacuated = domains;
        self.mark_evacuated();
    }

    /// Replaces the rates that each target of a service takes while it is cold; services without one
    /// are left out.
    pub fn set_cold_rates(&mut self, mut rates: Vec<(ServiceName, CallRate)>) {
        rates.sort();
        self.cold_rates = rates;
        self.apply_cold_rates();
    }

    /// Runs of the targets of the own failure domain that are cold and take only a certain rate.
    pub fn local_cold_runs(&self, now: ClockTime) -> Vec<(TargetName, IncarnationNumber)> {
        let known = self.targets.iter();
        let local = known.filter(|one| one.record.domain == self.domain);
        let cold = local.filter(|one| one.rate.cold_limit(now).is_some());
        cold.map(TargetState::run).collect()
    }

    /// Whether a service has targets that do not leave, and all of them are evacuated.
    pub fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        let known = self.targets.iter();
        let mut staying = known
            .filter(|one| one.record.service == *service && one.phase != TargetPhase::Leaving)
            .peekable();
        staying.peek().is_some() && staying.all(|one| one.is_evacuated)
    }

    /// Targets of a failure domain, sorted.
    pub fn targets_in(&self, domain: &DomainName) -> Vec<TargetName> {
        let known = self.targets.iter();
        let found = known.filter(|one| one.record.domain == *domain);
        found.map(|one| one.record.name.clone()).collect()
    }

    /// Number of generations of this node on the engines of a failure domain.
    pub fn own_generations_in(&self, domain: &DomainName) -> u32 {
        let known = self.targets.iter();
        let busy = known.filter(|one| one.record.domain == *domain && one.own_load.is_on_engine());
        busy.map(|one| one.own_load.calls).sum()
    }

    /// Marks lapsed targets as gone and drops load reports, each once their time is over; returns what
    /// changes for targets.
    pub fn on_tick(&mut self, now: ClockTime) -> TargetChanges {
        if now.since(self.compared_at) >= COMPARE_INTERVAL {
            self.compare_paces(now);
        }
        let mut changes = TargetChanges::default();
        let lapsed =
            |state: &TargetState| matches!(state.phase, TargetPhase::Lapsed(until) if until <= now);
        for at in 0..self.targets.len() {
            if lapsed(&self.targets[at]) {
                changes.add_vanished(&self.targets[at], self.is_replaced(at));
                self.targets[at].phase = TargetPhase::Leaving;
            }
        }
        let before = self.peers.len();
        self.peers
            .retain(|peer| now.since(peer.received_at) < PEER_EXPIRY);
        if before != self.peers.len() {
            self.recount_peer_loads();
        }
        changes
    }

    /// Applies the load report of a peer, unless a newer one of that peer has arrived before.
    ///
    /// Returns whether it was applied.
    pub fn apply_peer_loads(&mut self, loads: PeerLoads) -> bool {
        let is_one_node = !matches!(loads.origin, LoadOrigin::Domain(_));
        let at = match self.find_peer(&loads.origin) {
            // Several nodes report for a domain, each with times of its own clock.
            Ok(at) if is_one_node && loads.sent_at < self.peers[at].sent_at => return false,
            Ok(at) => {
                let previous = std::mem::replace(&mut self.peers[at], loads);
                count_loads(
                    &mut self.targets,
                    &self.domain,
                    &previous,
                    TargetLoad::sub_assign,
                );
                at
            }
            Err(at) => {
                self.peers.insert(at, loads);
                at
            }
        };
        // Reports arrive many times a second, so only the loads of this one are counted again.
        let report = &self.peers[at];
        count_loads(
            &mut self.targets,
            &self.domain,
            report,
            TargetLoad::add_assign,
        );
        true
    }

    /// Load of the calls of this node on each target that has any, sorted by target.
    pub fn own_loads(&self) -> Vec<(TargetName, TargetLoad)> {
        let busy = self
            .targets
            .iter()
            .filter(|state| !state.own_load.is_empty());
        busy.map(|state| (state.record.name.clone(), state.own_load))
            .collect()
    }

    /// Other failure domains on whose engines this node has load, sorted.
    pub fn remote_domains(&self) -> Vec<DomainName> {
        let used = self
            .targets
            .iter()
            .filter(|state| state.own_load.is_on_engine());
        let domains = used.map(|state| &state.record.domain);
        let mut remote: Vec<_> = domains.filter(|name| **name != self.domain).collect();
        remote.sort();
        remote.dedup();
        remote.into_iter().cloned().collect()
    }

    /// Counter that changes whenever the load of this node on engines changes.
    pub fn own_load_version(&self) -> u64 {
        self.own_load_version
    }

    /// Load that each peer reported for a target.
    pub fn peer_loads(&self, name: &TargetName) -> Vec<(NodeName, TargetLoad)> {
        let loads = self.peers.iter().filter_map(|peer| {
            let (LoadOrigin::Node(node) | LoadOrigin::RemoteNode(_, node)) = &peer.origin else {
                return None;
            };
            let found = peer.loads.binary_search_by(|(known, _)| known.cmp(name));
            found.ok().map(|at| (node.clone(), peer.loads[at].1))
        });
        loads.collect()
    }

    /// Load on each target of the own failure domain, sorted by target, to be reported to nodes of
    /// the domain `receiver`: without the calls of that domain, whose load its nodes know better.
    pub fn domain_loads_for(&self, receiver: &DomainName) -> Vec<(TargetName, TargetLoad)> {
        let local = self.targets.iter();
        let local = local.filter(|state| state.record.domain == self.domain);
        let mut sums: Vec<_> = local
            .map(|state| {
                let mut load = state.own_load;
                load += state.granted_load;
                (state.record.name.clone(), load)
            })
            .collect();
        for peer in &self.peers {
            match &peer.origin {
                LoadOrigin::Node(_) => {}
                LoadOrigin::RemoteNode(domain, _) if domain != receiver => {}
                LoadOrigin::RemoteNode(..) | LoadOrigin::Domain(_) => continue,
            }
            for (name, load) in &peer.loads {
                if let Ok(at) = sums.binary_search_by(|(known, _)| known.cmp(name)) {
                    sums[at].1 += *load;
                }
            }
        }
        sums.retain(|(_, load)| !load.is_empty());
        sums
    }

    /// Chooses the target with the lowest expected delay for a call, at random among targets whose
    /// delay is about the same.
    pub fn choose_target(
        &mut self,
        now: ClockTime,
        request: &PlacementRequest,
    ) -> PlacementDecision {
        if let Some(need) = request.pace.filter(|_| request.may_wait_for_pace(now)) {
            self.paces.record_long_call(need.events_left);
        }
        self.choose_among(now, request, None)
    }

    /// Chooses a target as [`Self::choose_target`] does, if `allowed` is given only among those;
    /// they are sorted by name.
    pub fn choose_among(
        &mut self,
        now: ClockTime,
        request: &PlacementRequest,
        allowed: Option<&[TargetName]>,
    ) -> PlacementDecision {
        let mut has_target = false;
        let mut all_excluded = true;
        let mut costs = Vec::new();
        for (at, state) in self.targets.iter().enumerate() {
            if state.record.service != request.service || !state.is_open() {
                continue;
            }
            has_target = true;
            all_excluded &= request.excluded.contains(&state.record.name);
            if state.record.domain != self.domain && request.scope == PlacementScope::OwnDomain {
                continue;
            }
            if request.excluded.contains(&state.record.name) || !state.accepts(now) {
                continue;
            }
            if allowed.is_some_and(|names| names.binary_search(&state.record.name).is_err())
                || is_avoided(now, state, request)
            {
                continue;
            }
            if let Some(cost) = self.cost(now, state, request) {
                costs.push((cost, at));
            }
        }
        let least = costs.iter().map(|(cost, _)| *cost).reduce(f64::min);
        let Some(least) = least else {
            return match (has_target, self.wait_left(now, &request.service)) {
                (false, _) => PlacementDecision::NoTarget,
                (true, Some(left)) => PlacementDecision::Backoff(left),
                // Placement requests for engines also exclude those that are paused for a moment.
                (true, None) if all_excluded && request.engine.is_none() => {
                    PlacementDecision::NoTarget
                }
                (true, None) => PlacementDecision::Full,
            };
        };
        costs.retain(|(cost, _)| *cost < least + TIE_MS);
        let pick = self.random.random_range(0..costs.len());
        let target = &mut self.targets[costs[pick].1];
        target.health.begin_trial(now);
        PlacementDecision::Target(target.record.name.clone())
    }

    /// Targets that have room for a call but that it avoids, as it would be late there, sorted.
    pub fn avoided_targets(&self, now: ClockTime, request: &PlacementRequest) -> Vec<TargetName> {
        let known = self.targets.iter().filter(|state| {
            state.record.service == request.service
                && state.phase != TargetPhase::Leaving
                && is_avoided(now, state, request)
                && state.accepts(now)
        });
        let open = known.filter(|state| {
            let has_room = request.engine.is_some_and(|spec| {
                let slots = self.open_slots(now, state, spec);
                engine_cost(state, request, spec, slots).is_some()
            });
            let is_in_scope =
                state.record.domain == self.domain || request.scope == PlacementScope::AllDomains;
            has_room && is_in_scope && !request.excluded.contains(&state.record.name)
        });
        open.map(|state| state.record.name.clone()).collect()
    }

    /// Adds the gaps that `node` observed at engines.
    pub fn add_paces(&mut self, now: ClockTime, node: &NodeName, reports: &[PaceReport]) {
        for report in reports {
            let Ok(at) = self.find(&report.target) else {
                continue;
            };
            let state = &self.targets[at];
            if state.record.incarnation == report.incarnation {
                let batch = state.total().calls;
                self.paces.add(now, node, report, state.pace, batch);
            }
        }
        if now.since(self.compared_at) >= COMPARE_INTERVAL {
            self.compare_paces(now);
        }
    }

    /// What is known of the pace of an engine's current run, if anything.
    pub fn engine_pace(&self, name: &TargetName) -> Option<&EnginePace> {
        let state = self.target(name)?;
        self.paces.engine(name, state.record.incarnation)
    }

    /// Paces of the engines of the own failure domain that differ from the others, sorted by target,
    /// to be reported to other domains.
    pub fn domain_paces(&self) -> Vec<DomainPace> {
        let own = self.targets.iter().filter(|state| {
            state.record.domain == self.domain
                && state.phase != TargetPhase::Leaving
                && state.pace.is_unusual()
        });
        own.map(|state| DomainPace::new(&state.record.name, state.record.incarnation, state.pace))
            .collect()
    }

    /// Records the paces that the coordinator of another failure domain reported of its engines;
    /// those of engines of other domains are ignored.
    pub fn apply_domain_paces(
        &mut self,
        now: ClockTime,
        domain: &DomainName,
        mut paces: Vec<DomainPace>,
    ) {
        paces.retain(|pace| {
            let found = self.target(&pace.target);
            found
                .is_some_and(|one| one.record.domain == *domain && one.record.domain != self.domain)
        });
        self.paces.record_remote(now, &paces);
    }

    /// Engines that long calls avoid, or avoid no longer, since the last call of this method, with
    /// their paces.
    pub fn take_pace_changes(&mut self) -> Vec<(TargetName, TargetPace)> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Compares the engines of each service by their pace, and forgets runs that are gone.
    fn compare_paces(&mut self, now: ClockTime) {
        self.compared_at = now;
        if self.paces.is_empty() {
            return;
        }
        let targets = &self.targets;
        self.paces.retain(now, |name, incarnation| {
            let found = targets.binary_search_by(|state| state.record.name.cmp(name));
            found.is_ok_and(|at| targets[at].record.incarnation == incarnation)
        });
        let mut services: Vec<_> = self.targets.iter().map(|one| &one.record.service).collect();
        services.sort();
        services.dedup();
        for service in services.into_iter().cloned().collect::<Vec<_>>() {
            let is_open = |state: &TargetState| state.record.service == service && state.is_open();
            let open = self.targets.iter().filter(|state| is_open(state));
            let runs: Vec<_> = open
                .map(|state| (&state.record.name, state.record.incarnation))
                .collect();
            let paces = self.paces.compare(now, &runs);
            let open = self.targets.iter_mut().filter(|state| is_open(state));
            for (state, pace) in open.zip(paces) {
                if state.pace.is_avoided != pace.is_avoided {
                    self.pace_changes.push((state.record.name.clone(), pace));
                }
                state.pace = pace;
            }
        }
    }

    /// Adds load of a call of this node to a target.
    pub fn add_load(&mut self, name: &TargetName, load: TargetLoad) {
        if let Ok(at) = self.find(name) {
            self.targets[at].own_load += load;
            self.own_load_version += u64::from(load.is_on_engine());
        }
    }

    /// Removes load of a call of this node from a target.
    pub fn remove_load(&mut self, name: &TargetName, load: TargetLoad) {
        let Ok(at) = self.find(name) else {
            return;
        };
        self.targets[at].own_load -= load;
        self.own_load_version += u64::from(load.is_on_engine());
    }

    /// Adds the load of a call of a peer that was granted room on a target.
    pub fn add_granted(&mut self, name: &TargetName, load: TargetLoad) {
        if let Ok(at) = self.find(name) {
            self.targets[at].granted_load += load;
        }
    }

    /// Removes the load of grants that ended: because the node reports the load itself now, gave
    /// the room back, or did not confirm the grant in time.
    pub fn remove_granted(&mut self, grants: &[CapacityGrant]) {
        for grant in grants {
            if let Ok(at) = self.find(&grant.target) {
                self.targets[at].granted_load -= grant.load;
            }
        }
    }

    /// Targets of a service to which this node sends no calls now, whatever their load.
    pub fn unavailable_targets(&self, now: ClockTime, service: &ServiceName) -> Vec<TargetName> {
        let known = self.targets.iter();
        let known = known.filter(|state| state.record.service == *service);
        let unavailable = known.filter(|state| !state.accepts(now));
        unavailable.map(|state| state.record.name.clone()).collect()
    }

    /// Services that have targets, sorted.
    pub fn services(&self) -> Vec<ServiceName> {
        let names = self.targets.iter().map(|state| &state.record.service);
        let mut names: Vec<_> = names.collect();
        names.sort();
        names.dedup();
        names.into_iter().cloned().collect()
    }

    /// Number of targets of a service in the own failure domain that take calls.
    pub fn local_targets(&self, now: ClockTime, service: &ServiceName) -> usize {
        let local = self
            .targets
            .iter()
            .filter(|state| state.record.service == *service && state.record.domain == self.domain);
        local.filter(|state| state.accepts(now)).count()
    }

    /// Whether the own failure domain has a target of a service that takes calls.
    pub fn has_local_target(&self, now: ClockTime, service: &ServiceName) -> bool {
        let mut local = self
            .targets
            .iter()
            .filter(|state| state.record.service == *service && state.record.domain == self.domain);
        local.any(|state| state.accepts(now))
    }

    /// Expected delays caused by failures at the targets of a service, without negligible ones,
    /// sorted by target.
    pub fn failure_delays(
        &self,
        now: ClockTime,
        service: &ServiceName,
    ) -> Vec<(TargetName, TimeSpan)> {
        let known = self.targets.iter();
        let known = known.filter(|state| state.record.service == *service);
        let delays = known.filter_map(|state| {
            let delay = TimeSpan::new(failure_cost(now, state) as u64);
            (delay >= MIN_REPORTED_DELAY).then(|| (state.record.name.clone(), delay))
        });
        delays.collect()
    }

    /// Records how a call at a target ended.
    pub fn record_outcome(&mut self, now: ClockTime, name: &TargetName, outcome: TargetOutcome) {
        if let Ok(at) = self.find(name) {
            self.targets[at].health.record_outcome(now, outcome);
        }
    }

    /// Records that a target refused a call for lack of room.
    pub fn record_room_refusal(&mut self, now: ClockTime, name: &TargetName) {
        if let Ok(at) = self.find(name) {
            let state = &mut self.targets[at];
            state.refusals.record_refusal(now, state.record.slots);
        }
    }

    /// Applies what an answer of a run of a target, to a call that was sent at `sent_at`, states about the
    /// calls that it may refuse; returns whether the limit changed.
    pub fn observe_refusal_limit(
        &mut self,
        (name, incarnation): (&TargetName, IncarnationNumber),
        sent_at: ClockTime,
        limit: Option<RefusalLimit>,
    ) -> bool {
        let Ok(at) = self.find(name) else {
            return false;
        };
        let state = &mut self.targets[at];
        state.record.incarnation == incarnation && state.refusals.observe(sent_at, limit)
    }

    /// What this node knows of refusal limits, for its peers.
    pub fn refusal_reports(&self, now: ClockTime) -> Vec<RefusalReport> {
        let known = self.targets.iter();
        known
            .filter_map(|state| state.refusals.report(now, state.run()))
            .take(REPORT_LIMIT)
            .collect()
    }

    /// Adopts what a peer knows of refusal limits; returns the targets whose limit changed.
    pub fn adopt_refusals(&mut self, now: ClockTime, reports: &[RefusalReport]) -> Vec<TargetName> {
        let mut changed = Vec::new();
        for report in reports {
            let Ok(at) = self.find(&report.target) else {
                continue;
            };
            let state = &mut self.targets[at];
            if state.record.incarnation == report.incarnation && state.refusals.adopt(now, report) {
                changed.push(report.target.clone());
            }
        }
        changed
    }

    /// Whether a target states a refusal limit.
    pub fn has_refusal_limits(&self, now: ClockTime) -> bool {
        let mut known = self.targets.iter();
        known.any(|state| state.refusals.limit_at(now).is_some())
    }

    /// Strictest refusal limit of the targets of a service; `None` if none of them states one.
    pub fn refusal_limit(&self, now: ClockTime, service: &ServiceName) -> Option<RefusalLimit> {
        let known = self.targets.iter();
        let open = known.filter(|state| state.record.service == *service && state.is_open());
        open.filter_map(|state| state.refusals.limit_at(now)).min()
    }

    /// Slots of a target that calls may use. Those of a target that must not refuse calls leave a margin for
    /// other failure domains, whose load is known later.
    fn open_slots(&self, now: ClockTime, state: &TargetState, spec: EngineSpec) -> u32 {
        let Some(limit) = state.refusals.limit_at(now) else {
            return spec.slots_of(state.record.slots);
        };
        let slots = spec.slots.min(state.record.slots.max(1));
        let room = state.refusals.room(now, slots);
        if state.record.domain == self.domain {
            return room;
        }
        let service = &state.record.service;
        match limit < SHARED_LIMIT && self.has_local_target(now, service) {
            true => 0,
            false => room.saturating_sub(slots.div_ceil(REMOTE_MARGIN_PART)),
        }
    }

    /// Forgets which targets of a service could not be reached, as this node had no path to any of them.
    pub fn forget_unreachable(&mut self, service: &ServiceName) {
        let targets = self.targets.iter_mut();
        for state in targets.filter(|state| state.record.service == *service) {
            state.health.forget_unreachable();
        }
    }

    /// Expected delay of a call on a target in milliseconds; `None` if the target has no room.
    fn cost(&self, now: ClockTime, state: &TargetState, request: &PlacementRequest) -> Option<f64> {
        let mut cost = match request.engine {
            Some(spec) => {
                let slots = self.open_slots(now, state, spec);
                engine_cost(state, request, spec, slots)? + pace_cost(now, state, request)
            }
            None => plain_cost(now, state)?,
        };
        let reported = request
            .failure_delays
            .binary_search_by(|(name, _)| name.cmp(&state.record.name));
        let reported = reported.map_or(0, |at| request.failure_delays[at].1.as_millis());
        cost += failure_cost(now, state).max(reported as f64);
        cost += match &request.move_source {
            Some(source) if source.domain != state.record.domain => MOVE_DOMAIN_COST_MS,
            None if self.domain != state.record.domain => match request.engine {
                Some(_) => ENGINE_DOMAIN_COST_MS,
                None => PLAIN_DOMAIN_COST_MS,
            },
            _ => 0.0,
        };
        if let Some(spec) = request.engine.filter(|_| request.move_source.is_some()) {
            let incoming = state.total().incoming as f64 * 1_000.0;
            cost += COPY_WAITS * incoming / spec.copy_rate.0.max(1) as f64;
        }
        if now < state.warm_at {
            cost += COLD_COST_MS;
        }
        Some(cost)
    }

    fn update_record(&mut self, now: ClockTime, record: TargetRecord, changes: &mut TargetChanges) {
        let at = match self.find(&record.name) {
            Ok(at) if self.targets[at].record.incarnation == record.incarnation => at,
            Ok(at) => {
                // The new process knows nothing of the calls of the old one. Those fail by
                // themselves, and each removes its load when it ends.
                changes.add_ended(&self.targets[at], true);
                let (own, granted) = (self.targets[at].own_load, self.targets[at].granted_load);
                self.backoffs.keep(now, &self.targets[at]);
                self.targets[at] = self.new_state(now, record);
                self.targets[at].own_load = own;
                self.targets[at].granted_load = granted;
                return;
            }
            Err(at) => {
                let state = self.new_state(now, record);
                self.targets.insert(at, state);
                return;
            }
        };
        let state = &mut self.targets[at];
        let was_leaving = state.phase == TargetPhase::Leaving;
        if state.record.is_leaving && !record.is_leaving {
            state.has_announced_leave = false;
            changes.no_longer_leaving.push(state.run());
        }
        state.warm_at = now + record.cold_left;
        state.record = record;
        state.phase = state.listed_phase();
        if state.phase == TargetPhase::Leaving && !was_leaving {
            changes.leaving.push(state.record.name.clone());
        }
    }

    /// State of a target that is listed anew, with what its run asked for before.
    fn new_state(&mut self, now: ClockTime, record: TargetRecord) -> TargetState {
        let mut state = TargetState::new(now, record);
        state.backoff = self.backoffs.take(&state.run());
        if let Some(limit) = self.refusal_limit(now, &state.record.service) {
            state.refusals = RefusalState::new(now, limit, state.record.slots);
        }
        state
    }

    /// Marks targets whose record is missing as lapsed or gone, and drops those that are gone and
    /// have no calls of this node left.
    fn drop_missing(
        &mut self,
        now: ClockTime,
        listed: &[TargetName],
        guard: &LeaseGuard,
        changes: &mut TargetChanges,
    ) {
        let is_missing = |state: &&TargetState| listed.binary_search(&state.record.name).is_err();
        let ready = |state: &&TargetState| state.phase == TargetPhase::Ready;
        let count = self.targets.iter().filter(ready).count();
        let missing = self.targets.iter().filter(ready).filter(is_missing).count();
        let keep_until = guard.keep_until(now, missing, count);
        for at in 0..self.targets.len() {
            let state = &self.targets[at];
            if listed.binary_search(&state.record.name).is_ok() {
                continue;
            }
            self.targets[at].phase = match (state.phase, keep_until) {
                (TargetPhase::Ready, Some(until)) => TargetPhase::Lapsed(until),
                (TargetPhase::Ready, None) => {
                    changes.add_vanished(state, self.is_replaced(at));
                    TargetPhase::Leaving
                }
                (phase @ (TargetPhase::Lapsed(_) | TargetPhase::Leaving), _) => phase,
            };
        }
        let backoffs = &mut self.backoffs;
        self.targets.retain(|state| {
            let is_listed = listed.binary_search(&state.record.name).is_ok();
            let is_kept =
                is_listed || state.phase != TargetPhase::Leaving || !state.own_load.is_empty();
            if !is_kept {
                backoffs.keep(now, state);
            }
            is_kept
        });
    }

    /// Whether another target is registered at the address of the target at index `at`.
    fn is_replaced(&self, at: usize) -> bool {
        let address = self.targets[at].record.address;
        let mut others = self.targets.iter().enumerate();
        others.any(|(other, state)| {
            other != at && state.record.address == address && state.phase == TargetPhase::Ready
        })
    }

    fn mark_evacuated(&mut self) {
        let evacuated = &self.evacuated;
        for state in &mut self.targets {
            state.is_evacuated = evacuated.binary_search(&state.record.domain).is_ok();
        }
    }

    fn apply_cold_rates(&mut self) {
        let rates = &self.cold_rates;
        for state in &mut self.targets {
            let found = rates.binary_search_by(|(name, _)| name.cmp(&state.record.service));
            let cold = found.ok().map(|at| (rates[at].1, state.warm_at));
            state.rate.set_cold(cold);
        }
    }

    fn recount_peer_loads(&mut self) {
        for state in &mut self.targets {
            state.peer_load = TargetLoad::default();
        }
        for peer in &self.peers {
            count_loads(
                &mut self.targets,
                &self.domain,
                peer,
                TargetLoad::add_assign,
            );
        }
    }

    pub(super) fn find(&self, name: &TargetName) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|state| state.record.name.cmp(name))
    }

    fn find_peer(&self, origin: &LoadOrigin) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.origin.cmp(origin))
    }
}

/// Adds a load report to the peer loads of the targets, which are sorted by name, or subtracts it
/// from them, depending on `change`.
fn count_loads(
    targets: &mut [TargetState],
    domain: &DomainName,
    peer: &PeerLoads,
    change: impl Fn(&mut TargetLoad, TargetLoad),
) {
    for (name, load) in &peer.loads {
        let Ok(at) = targets.binary_search_by(|state| state.record.name.cmp(name)) else {
            continue;
        };
        let state = &mut targets[at];
        let is_local = state.record.domain == *domain;
        // All nodes report directly what they put on engines of this domain. The load on engines of
        // another domain is known completely only there, so the report of that domain counts.
        let counts = match peer.origin {
            LoadOrigin::Node(_) => true,
            LoadOrigin::RemoteNode(..) => is_local,
            LoadOrigin::Domain(_) => !is_local,
        };
        if counts {
            change(&mut state.peer_load, *load);
        }
    }
}

/// Expected delay in milliseconds caused by failures of a target that this node observed.
fn failure_cost(now: ClockTime, state: &TargetState) -> f64 {
    let failures = state.health.failure_share(now) * FAILURE_COST_MS;
    match state.health.is_reachable() {
        true => failures,
        false => failures + UNREACHED_COST_MS,
    }
}

/// Expected delay in milliseconds of a call on an engine; `None` if the engine has no room.
fn engine_cost(
    state: &TargetState,
    request: &PlacementRequest,
    spec: EngineSpec,
    slots: u32,
) -> Option<f64> {
    let total = state.total();
    // A generation that has to move is lost if it finds no room.
    let share = match request.is_quick || request.move_source.is_some() {
        true => MEMORY_SHARE,
        false => LONG_OUTPUT_SHARE,
    };
    let limit = f64::from(spec.memory.0) * share;
    let tokens = (total.tokens + request.load.tokens) as f64;
    if total.calls >= slots || (tokens > limit && !total.is_empty()) {
        return None;
    }
    let ratio = prefill_ratio(state, request);
    if request.move_source.is_none() && total.prefill as f64 * ratio >= PREFILL_LIMIT as f64 {
        return None;
    }
    let fill = tokens / limit;
    let prefill = prefill_time(total.prefill).as_millis() as f64;
    Some(prefill * ratio + f64::from(total.calls) * CALL_DELAY_MS + fill * fill * MEMORY_COST_MS)
}

/// Factor by which an engine reads prompts slower than the others of its service; 1 for a call
/// without a pause limit, and while no engine differs much.
fn prefill_ratio(state: &TargetState, request: &PlacementRequest) -> f64 {
    match request.pace.is_some() && state.pace.is_uneven {
        true => state.pace.ratio,
        false => 1.0,
    }
}

/// Whether a call avoids an engine, as it would more likely than not be late there, while it can
/// still wait for another one.
fn is_avoided(now: ClockTime, state: &TargetState, request: &PlacementRequest) -> bool {
    let need = request.pace.filter(|_| request.may_wait_for_pace(now));
    need.is_some_and(|need| state.pace.is_uneven && state.pace.is_late_for(need.events_left))
}

/// Expected cost in milliseconds of the pace of an engine; below 0 if a quick call is steered to
/// it. 0 for a call without a pause limit, and while no engine differs much.
fn pace_cost(now: ClockTime, state: &TargetState, request: &PlacementRequest) -> f64 {
    let Some(need) = request.pace.filter(|_| state.pace.is_uneven) else {
        return 0.0;
    };
    let late_cost = need.latency_target.as_millis() as f64;
    let late = state.pace.late_probability(need.events_left) * late_cost;
    if request.move_source.is_some() {
        return late.min(MOVE_LATE_COST_MS);
    }
    let prompt = prefill_time(request.load.prefill).as_millis() as f64;
    let slower_prompt = prompt * (state.pace.ratio - 1.0);
    if !need.can_be_on_time(now) {
        return slower_prompt;
    }
    match request.is_quick && is_steered(now, state, request, need) {
        true => late - late_cost,
        false => late + slower_prompt,
    }
}

/// Whether a quick call is steered to an engine, as long calls avoid it and the call is on time
/// there.
fn is_steered(
    now: ClockTime,
    state: &TargetState,
    request: &PlacementRequest,
    need: PaceNeed,
) -> bool {
    let waiting = state.total().prefill + request.load.prefill;
    let first_event = prefill_time(waiting).as_millis() as f64 * state.pace.ratio;
    let delay = first_event - prefill_time(request.load.prefill).as_millis() as f64;
    state.pace.is_avoided
        && delay <= need.start_by.since(now).as_millis() as f64
        && first_event * 2.0 <= need.latency_target.as_millis() as f64
        && state.pace.late_probability(need.events_left) <= STEERED_LATE_LIMIT
}

/// Expected delay in milliseconds of a call on a plain target; `None` if the calls of this node
/// fill its slots.
///
/// Calls of peers are not counted: they end before the peers can report them.
fn plain_cost(now: ClockTime, state: &TargetState) -> Option<f64> {
    let slots = state.record.slots.max(1);
    let has_room = match state.refusals.limit_at(now) {
        Some(_) => state.total().calls < state.refusals.room(now, slots),
        None => state.own_load.calls < slots,
    };
    has_room.then(|| f64::from(state.own_load.calls) * PLAIN_CALL_MS)
}
