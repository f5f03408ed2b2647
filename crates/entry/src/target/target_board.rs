use std::ops::{AddAssign, SubAssign};

use base::{ClockTime, DomainName, NodeName, ServiceName, TargetName, TimeSpan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::{
    BoardChanges, LoadOrigin, LoadSum, PeerLoads, PlaceChoice, PlaceNeed, PlaceReach,
    TargetOutcome, TargetPhase, TargetRecord, TargetState, reading_time,
};
use crate::{CapacityGrant, EngineSpec, LeaseGuard};

/// Share of an engine's memory that calls may hold on average; the rest absorbs wrong predictions.
const MEMORY_SHARE: f64 = 0.9;
/// Share of it that long outputs may hold: what they leave is room for a quick call at any time.
const LONG_SHARE: f64 = 0.77;
/// Prompt tokens before an engine beyond which a call waits at the node instead, where it can still go
/// to the engine that is free first: half a second of reading.
const PREFILL_LIMIT: u64 = 3_500;
/// Delay in milliseconds that each further running call adds to the steps of one event.
const CALL_DELAY_MS: f64 = 3.0;
/// Cost in milliseconds of a full memory; preemptions become likely there.
const MEMORY_COST_MS: f64 = 250.0;
/// Cost in milliseconds of each call on a plain target.
const PLAIN_CALL_MS: f64 = 12.0;
/// Cost in milliseconds of a call that fails.
const FAILURE_COST_MS: f64 = 800.0;
/// Cost in milliseconds of a plain target in another failure domain: round trips and transfers.
const PLAIN_DOMAIN_COST_MS: f64 = 6.0;
/// Cost in milliseconds of an engine in another failure domain: a stream there is lost when the
/// domains are cut off from each other.
const ENGINE_DOMAIN_COST_MS: f64 = 250.0;
/// Cost in milliseconds of a target that could not be reached last time.
const UNREACHED_COST_MS: f64 = 1_000.0;
/// Cost in milliseconds of moving a generation to another failure domain, which takes twice as long
/// and delays the moves queued behind it.
const MOVE_DOMAIN_COST_MS: f64 = 400.0;
/// Times that a move waits behind other copies to the same engine: with its whole copy, and with the
/// rest while the generation stands still.
const COPY_WAITS: f64 = 2.0;
/// Cost in milliseconds of a target that is still slow after its start.
const COLD_COST_MS: f64 = 40.0;
/// Costs that differ less than this many milliseconds count as equal, so that nodes with the same
/// view do not all choose the same target.
const TIE_MS: f64 = 20.0;
/// Least delay by failures that a desk is told of; a target without failures has 40 ms.
const NOTED_DELAY: TimeSpan = TimeSpan::new(80);
/// Age at which the loads of a silent peer are dropped.
const PEER_EXPIRY: TimeSpan = TimeSpan::new(2_500);

/// Targets of all services with their load and health; chooses one for each call.
#[derive(Debug)]
pub struct TargetBoard {
    domain: DomainName,
    /// Sorted by name.
    pub(super) targets: Vec<TargetState>,
    /// Sorted by origin.
    peers: Vec<PeerLoads>,
    own_version: u64,
    random: Pcg64,
}

impl TargetBoard {
    /// Creates an empty board of a node in `domain`; equal seeds and events give equal choices.
    ///
    /// ```
    /// let board = entry::TargetBoard::new("patan".parse().unwrap(), 7);
    /// assert_eq!(board.targets().len(), 0);
    /// ```
    pub fn new(domain: DomainName, seed: u64) -> Self {
        Self {
            domain,
            targets: Vec::new(),
            peers: Vec::new(),
            own_version: 0,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Known targets, sorted by name.
    pub fn targets(&self) -> &[TargetState] {
        &self.targets
    }

    /// Finds a target.
    pub fn target(&self, name: &TargetName) -> Option<&TargetState> {
        self.find(name).ok().map(|at| &self.targets[at])
    }

    /// Takes all registered targets; returns what that changes.
    pub fn take_records(
        &mut self,
        now: ClockTime,
        records: Vec<TargetRecord>,
        guard: &LeaseGuard,
    ) -> BoardChanges {
        let mut listed: Vec<_> = records.iter().map(|record| record.name.clone()).collect();
        listed.sort();
        let mut changes = BoardChanges::default();
        for record in records {
            self.take_record(now, record, &mut changes);
        }
        self.drop_missing(now, &listed, guard, &mut changes);
        self.sum_peers();
        changes
    }

    /// Lets time pass; returns what changes for targets whose entry stayed away.
    pub fn on_tick(&mut self, now: ClockTime) -> BoardChanges {
        let mut changes = BoardChanges::default();
        let lapsed =
            |state: &TargetState| matches!(state.phase, TargetPhase::Lapsed(until) if until <= now);
        for at in 0..self.targets.len() {
            if lapsed(&self.targets[at]) {
                changes.note_vanished(&self.targets[at], self.is_replaced(at));
                self.targets[at].phase = TargetPhase::Leaving;
            }
        }
        let before = self.peers.len();
        self.peers
            .retain(|peer| now.since(peer.heard_at) < PEER_EXPIRY);
        if before != self.peers.len() {
            self.sum_peers();
        }
        changes
    }

    /// Takes what a peer has in flight, unless newer word of that peer came first.
    ///
    /// Returns whether it was taken.
    pub fn take_peer(&mut self, loads: PeerLoads) -> bool {
        let is_single = !matches!(loads.origin, LoadOrigin::Domain(_));
        let at = match self.find_peer(&loads.origin) {
            // Several nodes tell of a domain, each by its own clock.
            Ok(at) if is_single && loads.told_at < self.peers[at].told_at => return false,
            Ok(at) => {
                let known = std::mem::replace(&mut self.peers[at], loads);
                count_loads(&mut self.targets, &self.domain, &known, LoadSum::sub_assign);
                at
            }
            Err(at) => {
                self.peers.insert(at, loads);
                at
            }
        };
        // Loads arrive many times a second, so only what this peer said is counted anew.
        let told = &self.peers[at];
        count_loads(&mut self.targets, &self.domain, told, LoadSum::add_assign);
        true
    }

    /// Load of this node on each target, sorted by target.
    pub fn own_loads(&self) -> Vec<(TargetName, LoadSum)> {
        let busy = self.targets.iter().filter(|state| !state.own.is_empty());
        busy.map(|state| (state.record.name.clone(), state.own))
            .collect()
    }

    /// Other failure domains on whose engines this node has load, sorted.
    pub fn far_domains(&self) -> Vec<DomainName> {
        let used = self.targets.iter().filter(|state| state.own.is_on_engine());
        let domains = used.map(|state| &state.record.domain);
        let mut far: Vec<_> = domains.filter(|name| **name != self.domain).collect();
        far.sort();
        far.dedup();
        far.into_iter().cloned().collect()
    }

    /// Changes with the load of this node on engines.
    pub fn own_version(&self) -> u64 {
        self.own_version
    }

    /// Load of each peer on a target.
    pub fn peer_loads(&self, name: &TargetName) -> Vec<(NodeName, LoadSum)> {
        let loads = self.peers.iter().filter_map(|peer| {
            let (LoadOrigin::Node(node) | LoadOrigin::FarNode(_, node)) = &peer.origin else {
                return None;
            };
            let found = peer.loads.binary_search_by(|(known, _)| known.cmp(name));
            found.ok().map(|at| (node.clone(), peer.loads[at].1))
        });
        loads.collect()
    }

    /// Load on each target of the own failure domain, sorted by target, as nodes of `receiver` have
    /// to know it: without the calls of that domain, which they know better.
    pub fn sums_for(&self, receiver: &DomainName) -> Vec<(TargetName, LoadSum)> {
        let near = self.targets.iter();
        let near = near.filter(|state| state.record.domain == self.domain);
        let mut sums: Vec<_> = near
            .map(|state| {
                let mut load = state.own;
                load += state.granted;
                (state.record.name.clone(), load)
            })
            .collect();
        for peer in &self.peers {
            match &peer.origin {
                LoadOrigin::Node(_) => {}
                LoadOrigin::FarNode(domain, _) if domain != receiver => {}
                LoadOrigin::FarNode(..) | LoadOrigin::Domain(_) => continue,
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

    /// Chooses a target for a call.
    pub fn place(&mut self, now: ClockTime, need: &PlaceNeed) -> PlaceChoice {
        let mut is_present = false;
        let mut costs = Vec::new();
        for (at, state) in self.targets.iter().enumerate() {
            if state.record.service != need.service || state.phase == TargetPhase::Leaving {
                continue;
            }
            is_present = true;
            if state.record.domain != self.domain && need.reach == PlaceReach::Near {
                continue;
            }
            if need.excluded.contains(&state.record.name) || !state.accepts(now) {
                continue;
            }
            if let Some(cost) = self.cost(now, state, need) {
                costs.push((cost, at));
            }
        }
        let least = costs.iter().map(|(cost, _)| *cost).reduce(f64::min);
        let Some(least) = least else {
            return match (is_present, self.quiet_left(now, &need.service)) {
                (false, _) => PlaceChoice::Absent,
                (true, Some(left)) => PlaceChoice::Quiet(left),
                (true, None) => PlaceChoice::Full,
            };
        };
        costs.retain(|(cost, _)| *cost < least + TIE_MS);
        let pick = self.random.random_range(0..costs.len());
        PlaceChoice::Target(self.targets[costs[pick].1].record.name.clone())
    }

    /// Adds a call to the load of a target.
    pub fn add(&mut self, name: &TargetName, load: LoadSum) {
        if let Ok(at) = self.find(name) {
            self.targets[at].own += load;
            self.own_version += u64::from(load.is_on_engine());
        }
    }

    /// Takes a call off the load of a target.
    pub fn remove(&mut self, name: &TargetName, load: LoadSum) {
        let Ok(at) = self.find(name) else {
            return;
        };
        self.targets[at].own -= load;
        self.own_version += u64::from(load.is_on_engine());
    }

    /// Adds room granted to a peer to the load of a target.
    pub fn add_granted(&mut self, name: &TargetName, load: LoadSum) {
        if let Ok(at) = self.find(name) {
            self.targets[at].granted += load;
        }
    }

    /// Takes granted room off the load of a target.
    pub fn remove_granted(&mut self, grants: &[CapacityGrant]) {
        for grant in grants {
            if let Ok(at) = self.find(&grant.target) {
                self.targets[at].granted -= grant.load;
            }
        }
    }

    /// Targets of a service that get no calls of this node now.
    pub fn barred(&self, now: ClockTime, service: &ServiceName) -> Vec<TargetName> {
        let known = self.targets.iter();
        let known = known.filter(|state| state.record.service == *service);
        let barred = known.filter(|state| !state.accepts(now));
        barred.map(|state| state.record.name.clone()).collect()
    }

    /// Whether a target of a service in the own failure domain takes calls.
    pub fn has_near(&self, now: ClockTime, service: &ServiceName) -> bool {
        let mut near = self
            .targets
            .iter()
            .filter(|state| state.record.service == *service && state.record.domain == self.domain);
        near.any(|state| state.accepts(now))
    }

    /// Expected delays by failures at the targets of a service, where they matter, sorted by target.
    pub fn failure_delays(
        &self,
        now: ClockTime,
        service: &ServiceName,
    ) -> Vec<(TargetName, TimeSpan)> {
        let known = self.targets.iter();
        let known = known.filter(|state| state.record.service == *service);
        let delays = known.filter_map(|state| {
            let delay = TimeSpan::new(failure_cost(now, state) as u64);
            (delay >= NOTED_DELAY).then(|| (state.record.name.clone(), delay))
        });
        delays.collect()
    }

    /// Notes how a call at a target ended.
    pub fn note(&mut self, now: ClockTime, name: &TargetName, outcome: TargetOutcome) {
        if let Ok(at) = self.find(name) {
            self.targets[at].health.note(now, outcome);
        }
    }

    fn cost(&self, now: ClockTime, state: &TargetState, need: &PlaceNeed) -> Option<f64> {
        let mut cost = match need.engine {
            Some(spec) => engine_cost(state, need, spec)?,
            None => plain_cost(state)?,
        };
        let told = need
            .delays
            .binary_search_by(|(name, _)| name.cmp(&state.record.name));
        let told = told.map_or(0, |at| need.delays[at].1.as_millis());
        cost += failure_cost(now, state).max(told as f64);
        cost += match &need.moves_from {
            Some(source) if source.domain != state.record.domain => MOVE_DOMAIN_COST_MS,
            None if self.domain != state.record.domain => match need.engine {
                Some(_) => ENGINE_DOMAIN_COST_MS,
                None => PLAIN_DOMAIN_COST_MS,
            },
            _ => 0.0,
        };
        if let Some(spec) = need.engine.filter(|_| need.moves_from.is_some()) {
            let incoming = state.total().incoming as f64 * 1_000.0;
            cost += COPY_WAITS * incoming / spec.copy_rate.0.max(1) as f64;
        }
        if now < state.warm_at {
            cost += COLD_COST_MS;
        }
        Some(cost)
    }

    fn take_record(&mut self, now: ClockTime, record: TargetRecord, changes: &mut BoardChanges) {
        let at = match self.find(&record.name) {
            Ok(at) if self.targets[at].record.incarnation == record.incarnation => at,
            Ok(at) => {
                // The new process knows nothing of the calls of the old one, which fail by
                // themselves; their load is taken off as they end.
                changes.note_ended(&self.targets[at], true);
                let (own, granted) = (self.targets[at].own, self.targets[at].granted);
                self.targets[at] = TargetState::new(now, record);
                self.targets[at].own = own;
                self.targets[at].granted = granted;
                return;
            }
            Err(at) => {
                self.targets.insert(at, TargetState::new(now, record));
                return;
            }
        };
        let state = &mut self.targets[at];
        let was_leaving = state.phase == TargetPhase::Leaving;
        if state.record.is_leaving && !record.is_leaving {
            state.has_said = false;
            changes.stayed.push(state.run());
        }
        state.record = record;
        state.phase = state.listed_phase();
        if state.phase == TargetPhase::Leaving && !was_leaving {
            changes.leaving.push(state.record.name.clone());
        }
    }

    fn drop_missing(
        &mut self,
        now: ClockTime,
        listed: &[TargetName],
        guard: &LeaseGuard,
        changes: &mut BoardChanges,
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
                    changes.note_vanished(state, self.is_replaced(at));
                    TargetPhase::Leaving
                }
                (phase @ (TargetPhase::Lapsed(_) | TargetPhase::Leaving), _) => phase,
            };
        }
        self.targets.retain(|state| {
            let is_listed = listed.binary_search(&state.record.name).is_ok();
            is_listed || state.phase != TargetPhase::Leaving || !state.own.is_empty()
        });
    }

    /// Whether another target is listed at the address of one.
    fn is_replaced(&self, at: usize) -> bool {
        let address = self.targets[at].record.address;
        let mut others = self.targets.iter().enumerate();
        others.any(|(other, state)| {
            other != at && state.record.address == address && state.phase == TargetPhase::Ready
        })
    }

    fn sum_peers(&mut self) {
        for state in &mut self.targets {
            state.peers = LoadSum::default();
        }
        for peer in &self.peers {
            count_loads(&mut self.targets, &self.domain, peer, LoadSum::add_assign);
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

/// Counts what a peer said into the sums of the targets, which are sorted by name, or out of them.
fn count_loads(
    targets: &mut [TargetState],
    domain: &DomainName,
    peer: &PeerLoads,
    change: impl Fn(&mut LoadSum, LoadSum),
) {
    for (name, load) in &peer.loads {
        let Ok(at) = targets.binary_search_by(|state| state.record.name.cmp(name)) else {
            continue;
        };
        let state = &mut targets[at];
        let is_near = state.record.domain == *domain;
        // All nodes tell at once what they put on engines of this domain; what is on engines
        // elsewhere, only their own domain knows completely.
        let counts = match peer.origin {
            LoadOrigin::Node(_) => true,
            LoadOrigin::FarNode(..) => is_near,
            LoadOrigin::Domain(_) => !is_near,
        };
        if counts {
            change(&mut state.peers, *load);
        }
    }
}

/// Expected delay by failures of a target, as this node saw them.
fn failure_cost(now: ClockTime, state: &TargetState) -> f64 {
    let failures = state.health.failure_share(now) * FAILURE_COST_MS;
    match state.health.is_reachable() {
        true => failures,
        false => failures + UNREACHED_COST_MS,
    }
}

/// Expected delay of a call on an engine; `None` if the engine has no room.
fn engine_cost(state: &TargetState, need: &PlaceNeed, spec: EngineSpec) -> Option<f64> {
    let total = state.total();
    // A generation that moves is lost if it finds no room.
    let share = match need.is_quick || need.moves_from.is_some() {
        true => MEMORY_SHARE,
        false => LONG_SHARE,
    };
    let limit = f64::from(spec.memory.0) * share;
    let tokens = (total.tokens + need.load.tokens) as f64;
    if total.calls >= spec.slots || (tokens > limit && !total.is_empty()) {
        return None;
    }
    if need.moves_from.is_none() && total.prefill >= PREFILL_LIMIT {
        return None;
    }
    let fill = tokens / limit;
    let prefill = reading_time(total.prefill).as_millis() as f64;
    Some(prefill + f64::from(total.calls) * CALL_DELAY_MS + fill * fill * MEMORY_COST_MS)
}

/// Expected delay of a call on a plain target; `None` if this node keeps all its slots busy.
///
/// Calls of peers are not counted: they end sooner than the peers can tell of them.
fn plain_cost(state: &TargetState) -> Option<f64> {
    let has_room = state.own.calls < state.record.slots.max(1);
    has_room.then(|| f64::from(state.own.calls) * PLAIN_CALL_MS)
}
