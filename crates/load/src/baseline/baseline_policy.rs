use std::collections::HashMap;

use base::{ClockTime, ErrorKind, RequestId, TargetName, TimeSpan, TokenCount};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sched::{
    DispatchOutcome, LoadReport, PeerDigest, RequestPriority, RoutePolicy, SchedAction, TargetInfo,
    WorkItem,
};
use strum::{Display, EnumIter, EnumString};

const RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);

/// How a baseline policy selects a target among the usable candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum SelectionRule {
    /// Each with the same probability.
    Random,
    /// One after the other, from a random start.
    RoundRobin,
    /// The one with the fewest requests of this node in flight; ties are broken at random.
    LeastInFlight,
}

/// A routing policy that dispatches every request at once and ignores load reports, digests and
/// priorities.
///
/// ```
/// use load::baseline::{BaselinePolicy, SelectionRule};
/// use sched::RoutePolicy;
/// let mut policy = BaselinePolicy::new(SelectionRule::RoundRobin, 1);
/// let mut actions = Vec::new();
/// policy.drain_actions(&mut actions);
/// assert!(actions.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct BaselinePolicy {
    rule: SelectionRule,
    random: Pcg64Mcg,
    targets: Vec<(TargetName, bool)>,
    in_flight: Vec<u32>,
    next: usize,
    dispatched: HashMap<RequestId, TargetName>,
    usable_targets: Vec<usize>,
    actions: Vec<SchedAction>,
}

impl BaselinePolicy {
    /// Creates a policy that knows no targets.
    pub fn new(rule: SelectionRule, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        Self {
            rule,
            next: random.random_range(0..1 << 16),
            random,
            targets: Vec::new(),
            in_flight: Vec::new(),
            dispatched: HashMap::new(),
            usable_targets: Vec::new(),
            actions: Vec::new(),
        }
    }

    fn find(&self, target: &TargetName) -> Option<usize> {
        self.targets
            .binary_search_by(|(name, _)| name.cmp(target))
            .ok()
    }

    fn collect_usable(&mut self, item: &WorkItem) {
        let mut usable_targets = std::mem::take(&mut self.usable_targets);
        usable_targets.clear();
        for target in item.candidates.iter() {
            let usable = self.find(target).filter(|at| self.targets[*at].1);
            if let Some(at) = usable
                && !item.excluded.contains(target)
            {
                usable_targets.push(at);
            }
        }
        self.usable_targets = usable_targets;
    }

    fn choose(&mut self) -> Option<usize> {
        let count = self.usable_targets.len();
        if count == 0 {
            return None;
        }
        match self.rule {
            SelectionRule::Random => Some(self.usable_targets[self.random.random_range(0..count)]),
            SelectionRule::RoundRobin => {
                self.next = self.next.wrapping_add(1);
                Some(self.usable_targets[self.next % count])
            }
            SelectionRule::LeastInFlight => {
                let start = self.random.random_range(0..count);
                let rotated = (0..count).map(|step| self.usable_targets[(start + step) % count]);
                rotated.min_by_key(|at| self.in_flight[*at])
            }
        }
    }
}

impl RoutePolicy for BaselinePolicy {
    fn on_targets(&mut self, _now: ClockTime, targets: &[TargetInfo]) {
        let old = std::mem::take(&mut self.targets);
        let counts = std::mem::take(&mut self.in_flight);
        for info in targets {
            let known = old.binary_search_by(|(name, _)| name.cmp(&info.target));
            self.in_flight.push(known.map_or(0, |at| counts[at]));
            self.targets.push((info.target.clone(), info.usable));
        }
    }

    fn on_report(&mut self, _now: ClockTime, _report: LoadReport) {}

    fn on_digest(&mut self, _now: ClockTime, _digest: PeerDigest) {}

    fn submit(&mut self, _now: ClockTime, item: WorkItem) {
        self.collect_usable(&item);
        let request = item.request;
        let Some(at) = self.choose() else {
            self.actions.push(SchedAction::Refuse {
                request,
                kind: ErrorKind::NoTarget,
                retry_after: RETRY_AFTER,
            });
            return;
        };
        let target = self.targets[at].0.clone();
        self.in_flight[at] += 1;
        self.dispatched.insert(request.clone(), target.clone());
        self.actions.push(SchedAction::Dispatch {
            request,
            target,
            priority: RequestPriority::default(),
        });
    }

    fn withdraw(&mut self, _now: ClockTime, _request: &RequestId) {}

    fn on_admitted(&mut self, _now: ClockTime, _request: &RequestId) {}

    fn on_progress(&mut self, _now: ClockTime, _request: &RequestId, _produced: TokenCount) {}

    fn on_finished(&mut self, _now: ClockTime, request: &RequestId, _state: DispatchOutcome) {
        let dispatched = self.dispatched.remove(request);
        if let Some(at) = dispatched.and_then(|target| self.find(&target)) {
            self.in_flight[at] -= 1;
        }
    }

    fn on_cache_event(&mut self, _now: ClockTime, _target: &TargetName, _prefix: u64, _held: bool) {
    }

    fn on_tick(&mut self, _now: ClockTime) {}

    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>) {
        actions.append(&mut self.actions);
    }
}
