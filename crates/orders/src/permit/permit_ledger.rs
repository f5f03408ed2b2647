use base::{ByteRate, ClockTime, IncarnationNumber, NodeName, TimeSpan};
use smol_str::SmolStr;

use super::ledger_entry::LedgerEntry;
use super::{HeldPermit, PermitRequest, PermitResponse, WantedPermit};

use crate::{BlockReason, DomainPlan, DomainView, GuardSwitches, WaveGate};

/// Number of loads that one coordinator allows to run at the same time.
const CONCURRENT_LOADS: u64 = 2;
/// Number of coordinators whose loads may run at the same time: the current one and its
/// predecessor.
const COORDINATOR_COUNT: u64 = 2;

/// Latest request of a node.
#[derive(Clone, Debug)]
struct NodeRequest {
    node: NodeName,
    incarnation: IncarnationNumber,
    request: PermitRequest,
    answered: bool,
}

/// The permit coordinator's record of the permits it granted and the requests it received.
#[derive(Clone, Debug, Default)]
pub struct PermitLedger {
    /// When this node became the coordinator; `None` if it is not.
    active_since: Option<ClockTime>,
    /// When permits were first wanted after a period without any; see `note_request`.
    observing_since: Option<ClockTime>,
    /// When permits were last wanted.
    requested_at: Option<ClockTime>,
    entries: Vec<LedgerEntry>,
    requests: Vec<NodeRequest>,
}

impl PermitLedger {
    /// Becomes the coordinator at `now`, or ceases to be with `None`. Permits granted before are
    /// forgotten only when another coordinator has taken over.
    pub fn set_active(&mut self, now: Option<ClockTime>) {
        if self.active_since.is_some() == now.is_some() {
            return;
        }
        *self = Self {
            active_since: now,
            ..Self::default()
        };
    }

    /// Starts again at `now` after a pause, during which another coordinator may have granted
    /// permits.
    pub fn restart(&mut self, now: ClockTime) {
        if self.active_since.is_some() {
            self.active_since = None;
            self.set_active(Some(now));
        }
    }

    /// Switches to a new plan: updates the positions of targets and drops requests made under the
    /// old plan.
    pub fn set_plan(&mut self, plan: &DomainPlan) {
        self.requests.clear();
        self.entries.retain_mut(|entry| {
            let position = plan.position(&entry.permit.target);
            entry.position = position.unwrap_or_default();
            position.is_some()
        });
    }

    /// Tells whether this node is the coordinator.
    pub fn is_active(&self) -> bool {
        self.active_since.is_some()
    }

    /// Tells whether any request with wanted permits has not been answered.
    pub fn has_pending_requests(&self) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|known| !known.answered && !known.request.wants.is_empty())
    }

    /// Earliest time at which a new coordinator may grant permits, provided that it has observed
    /// the targets.
    pub fn grants_from(&self, settle_time: TimeSpan) -> Option<ClockTime> {
        Some(self.active_since? + settle_time)
    }

    /// Records a request; one that is not newer than the latest of the same incarnation is ignored.
    pub fn on_request(
        &mut self,
        view: &DomainView<'_>,
        node: &NodeName,
        incarnation: IncarnationNumber,
        request: PermitRequest,
    ) {
        if self.active_since.is_none() {
            return;
        }
        let found = self.requests.iter().position(|known| known.node == *node);
        if let Some(at) = found {
            let known = &self.requests[at];
            if known.incarnation > incarnation
                || known.incarnation == incarnation && known.request.number >= request.number
            {
                return;
            }
            self.requests.remove(at);
        }
        self.note_request(view, &request);
        self.mark_returned(view.now, node, incarnation, &request);
        self.adopt_held(view, node, incarnation, &request);
        self.requests.push(NodeRequest {
            node: node.clone(),
            incarnation,
            request,
            answered: false,
        });
        self.requests
            .sort_by(|left, right| left.node.cmp(&right.node));
    }

    /// Positions of targets whose permit was returned and that have not been probed since then.
    /// Each is returned once.
    pub fn take_unconfirmed_returns(&mut self, now: ClockTime) -> Vec<usize> {
        let due = |at: ClockTime| at < now;
        let entries = self.entries.iter_mut();
        let entries = entries.filter(|entry| entry.returned_at.is_some_and(due) && !entry.probed);
        entries
            .map(|entry| {
                entry.probed = true;
                entry.position
            })
            .collect()
    }

    /// Answers the pending requests.
    pub fn answer_requests(
        &mut self,
        view: &DomainView<'_>,
        live: &[NodeName],
        guards: &GuardSwitches,
    ) -> Vec<(NodeName, PermitResponse)> {
        self.requests.retain(|known| live.contains(&known.node));
        self.drop_settled(view, live);
        if !self.may_grant(view) {
            return Vec::new();
        }
        let mut responses: Vec<(usize, PermitResponse)> = Vec::new();
        let mut wants: Vec<(WantedPermit, usize)> = Vec::new();
        for (at, known) in self.requests.iter_mut().enumerate() {
            if std::mem::replace(&mut known.answered, true) || known.request.wants.is_empty() {
                continue;
            }
            wants.extend(known.request.wants.iter().map(|want| (want.clone(), at)));
            let response = PermitResponse {
                request: known.request.number,
                grants: Vec::new(),
                refused: Vec::new(),
            };
            responses.push((at, response));
        }
        wants.sort_by(|left, right| left.0.target.cmp(&right.0.target));
        for (want, at) in wants {
            let result = self.grant(view, at, &want, guards);
            let Some((_, response)) = responses
                .iter_mut()
                .find(|(request_at, _)| *request_at == at)
            else {
                continue;
            };
            match result {
                Ok(permit) => response.grants.push(permit),
                Err(reason) => response.refused.push((want.target, reason)),
            }
        }
        let with_node =
            |(at, response): (usize, PermitResponse)| (self.requests[at].node.clone(), response);
        responses.into_iter().map(with_node).collect()
    }

    /// Total rate of all loads that may be running: those granted and those observed on targets.
    pub fn used_rate(&self, view: &DomainView<'_>) -> ByteRate {
        let rate = rate_per_load(view.plan);
        let mut sum = 0_u64;
        for position in 0..view.actual_states.len() {
            let entry = self.entries.iter().find(|entry| entry.position == position);
            let granted = entry.and_then(|entry| entry.permit.rate);
            let seen = observed_rate(view, position, rate);
            let larger = granted.into_iter().chain(seen).max();
            sum = sum.saturating_add(larger.map_or(0, |rate| rate.0));
        }
        ByteRate(sum)
    }

    /// Records when permits were last wanted. After a period without wanted permits the view of the
    /// domain may be out of date, so all targets have to be observed again.
    fn note_request(&mut self, view: &DomainView<'_>, request: &PermitRequest) {
        if request.wants.is_empty() {
            return;
        }
        let is_outdated = |at| view.now - at > view.timing.absent_after;
        if self.requested_at.is_none_or(is_outdated) {
            self.observing_since = Some(view.now);
        }
        self.requested_at = Some(view.now);
    }

    /// Tells whether permits may be granted now.
    ///
    /// A new coordinator waits until the permits of its predecessor are either in use, and so
    /// visible on the targets, or dropped. Every coordinator first observes all targets. Targets
    /// that do not answer hold nothing up: what they may still load counts towards the half of the
    /// rate that is reserved for the predecessor's loads.
    fn may_grant(&self, view: &DomainView<'_>) -> bool {
        let Some(grants_from) = self.grants_from(view.timing.settle_time) else {
            return false;
        };
        if view.now < grants_from {
            return false;
        }
        let observing_since = self.observing_since.unwrap_or(grants_from).max(grants_from);
        let had_time_to_observe = view.now - observing_since > view.timing.capacity_max_age;
        let mut positions = 0..view.actual_states.len();
        positions.all(|position| match view.actual(position) {
            Some(actual) => actual.observed_at >= grants_from,
            None => had_time_to_observe,
        })
    }

    /// Counts permits as returned that the node was granted for an earlier request and no longer
    /// holds.
    fn mark_returned(
        &mut self,
        now: ClockTime,
        node: &NodeName,
        incarnation: IncarnationNumber,
        request: &PermitRequest,
    ) {
        for entry in &mut self.entries {
            let held = request
                .held
                .iter()
                .any(|permit| permit.target == entry.permit.target);
            let earlier = entry.incarnation != incarnation || entry.request < request.number;
            if entry.node == *node && earlier && !held && entry.returned_at.is_none() {
                entry.returned_at = Some(now);
            }
        }
    }

    /// Records held permits that are not in the ledger: a new coordinator learns from the requests
    /// what its predecessor granted.
    fn adopt_held(
        &mut self,
        view: &DomainView<'_>,
        node: &NodeName,
        incarnation: IncarnationNumber,
        request: &PermitRequest,
    ) {
        for permit in &request.held {
            let known = self.entries.iter_mut();
            let mut same = known.filter(|entry| entry.permit.target == permit.target);
            if let Some(entry) =
                same.find(|entry| entry.node == *node && entry.incarnation == incarnation)
            {
                entry.returned_at = None;
                entry.probed = false;
                continue;
            }
            let Some(position) = view.plan.position(&permit.target) else {
                continue;
            };
            let entry = LedgerEntry {
                position,
                node: node.clone(),
                incarnation,
                request: request.number,
                load_deadline: load_deadline(view, permit),
                returned_at: None,
                probed: false,
                permit: permit.clone(),
            };
            self.entries.push(entry);
        }
    }

    /// Drops permits that were returned once an observation shows that the load is over. A node
    /// that is no longer live counts as having returned its permits after the settle time.
    fn drop_settled(&mut self, view: &DomainView<'_>, live: &[NodeName]) {
        for entry in &mut self.entries {
            if entry.returned_at.is_none() && !live.contains(&entry.node) {
                entry.returned_at = Some(view.now + view.timing.settle_time);
            }
        }
        self.entries.retain(|entry| {
            let Some(returned_at) = entry.returned_at else {
                return true;
            };
            match view.actual(entry.position) {
                Some(actual) => actual.observed_at <= returned_at || actual.is_loading(),
                None => view.now < entry.load_deadline,
            }
        });
    }

    /// Grants the wanted permit to the node of the request at position `at`, or returns the reason
    /// for the refusal.
    fn grant(
        &mut self,
        view: &DomainView<'_>,
        at: usize,
        want: &WantedPermit,
        guards: &GuardSwitches,
    ) -> Result<HeldPermit, BlockReason> {
        let position = view.plan.position(&want.target);
        let position = position.ok_or(BlockReason::NoDeclaration)?;
        if self.entries.iter().any(|entry| entry.position == position) {
            return Err(BlockReason::NoSlot);
        }
        if let Some(rollout) = &want.rollout {
            self.check_rollout(view, rollout, position, guards)?;
        }
        if guards.capacity_rule {
            self.check_capacity(view, position, want)?;
        }
        let rate = want.loads.then(|| rate_per_load(view.plan));
        if let Some(rate) = rate {
            let limit = view.plan.rate_share.0 / COORDINATOR_COUNT;
            let after = self.used_rate(view).0.saturating_add(rate.0);
            if rate.0 == 0 || after > limit {
                return Err(BlockReason::NoSlot);
            }
        }
        let permit = HeldPermit {
            target: want.target.clone(),
            rate,
            lost_model: want.lost_model.clone(),
            rollout: want.rollout.clone(),
        };
        let known = &self.requests[at];
        self.entries.push(LedgerEntry {
            position,
            node: known.node.clone(),
            incarnation: known.incarnation,
            request: known.request.number,
            load_deadline: load_deadline(view, &permit),
            returned_at: None,
            probed: false,
            permit: permit.clone(),
        });
        Ok(permit)
    }

    /// Checks the failure limit and the wave of a rollout. Outstanding permits count as failures,
    /// so that no more targets can fail than the limit allows.
    fn check_rollout(
        &self,
        view: &DomainView<'_>,
        name: &SmolStr,
        position: usize,
        guards: &GuardSwitches,
    ) -> Result<(), BlockReason> {
        let rollout = view.plan.rollout(name).ok_or(BlockReason::NoDeclaration)?;
        let plan = &view.plan.rollouts[rollout];
        if guards.halt_rule {
            let in_rollout = |entry: &&LedgerEntry| entry.permit.rollout.as_ref() == Some(name);
            let pending = self.entries.iter().filter(in_rollout).count();
            if view.failures.halted_since(rollout).is_some() {
                return Err(BlockReason::RolloutHalted);
            }
            if view.failures.failed_count(rollout) + pending >= plan.failure_limit {
                return Err(BlockReason::NoSlot);
            }
        }
        if WaveGate::new(*view).is_open(rollout, position) {
            Ok(())
        } else {
            Err(BlockReason::EarlierWave)
        }
    }

    /// Checks that enough other targets serve the model that the order takes out of service. Only
    /// one such permit per model is outstanding at a time.
    fn check_capacity(
        &self,
        view: &DomainView<'_>,
        position: usize,
        want: &WantedPermit,
    ) -> Result<(), BlockReason> {
        let Some(model) = &want.lost_model else {
            return Ok(());
        };
        let takes_model = |entry: &&LedgerEntry| entry.permit.lost_model.as_ref() == Some(model);
        if self.entries.iter().any(|entry| takes_model(&entry)) {
            return Err(BlockReason::LeastCapacity);
        }
        if view.count_ready(model, &[position]) < view.plan.min_ready(model) {
            return Err(BlockReason::LeastCapacity);
        }
        Ok(())
    }
}

/// Rate granted to one load.
fn rate_per_load(plan: &DomainPlan) -> ByteRate {
    ByteRate(plan.rate_share.0 / (COORDINATOR_COUNT * CONCURRENT_LOADS))
}

/// Rate of a load observed on a target; `default` if the target does not report the rate.
fn observed_rate(view: &DomainView<'_>, position: usize, default: ByteRate) -> Option<ByteRate> {
    let actual = view.actual(position)?;
    let mut loading = actual.versions.iter().filter(|entry| entry.is_loading());
    loading
        .next()
        .map(|entry| entry.load_rate.unwrap_or(default))
}

/// Time after which a load under `permit` is certainly over: twice the duration of the load, plus
/// the time until a target counts as absent.
fn load_deadline(view: &DomainView<'_>, permit: &HeldPermit) -> ClockTime {
    let rollout = permit
        .rollout
        .as_ref()
        .and_then(|name| view.plan.rollout(name));
    let bytes = rollout.map_or(0, |at| view.plan.rollouts[at].weight_bytes.0);
    let rate = permit.rate.map_or(u64::MAX, |rate| rate.0.max(1));
    let span = TimeSpan::new(bytes.saturating_mul(2_000) / rate);
    view.now + span + view.timing.absent_after
}
