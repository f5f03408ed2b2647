use base::{ClockTime, EventKind, TargetName};
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};

use super::domain_reconciler::halt_text;
use super::rollout_gates::RolloutGates;
use super::{DomainReconciler, ReconcilerAction};
use crate::reconcile::find_victim;
use crate::{
    BlockReason, DomainPlan, FencingNumber, LoadState, NeededStep, OrderAction, RequiredPermit,
    TargetOrder, WantedPermit, WantedVersion, next_step,
};

/// Derivation of orders from the observed states of the targets.
impl DomainReconciler {
    /// Reconciles all owned targets and updates the status of the others. `blocked` is the reason
    /// that forbids all orders of this node, if there is one.
    pub(super) fn reconcile_all(&mut self, now: ClockTime, blocked: Option<BlockReason>) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        self.holder.drop_expired(now, &self.settings.timing);
        let mut wants = Vec::new();
        for at in 0..self.target_states.len() {
            if !self.target_states[at].is_owned() {
                self.refresh_observed_status(now, &plan, at);
                continue;
            }
            let status = match blocked {
                Some(reason) => Some(reason),
                None => self.reconcile_target(now, &plan, at, &mut wants),
            };
            self.target_states[at].set_status(now, status);
        }
        self.plan = Some(plan);
        if blocked.is_none() {
            self.request_permits(now, wants);
        }
    }

    /// Updates the status of all targets after a plan change. Otherwise a report between the new
    /// plan and the next tick would show the status under the old plan.
    pub(super) fn refresh_observed_statuses(&mut self, now: ClockTime) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        for at in 0..self.target_states.len() {
            self.refresh_observed_status(now, &plan, at);
        }
        self.plan = Some(plan);
    }

    /// Updates the status of a target from its observed state alone, as for a target that another
    /// node owns.
    pub(super) fn refresh_observed_status(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) {
        let absent = self.domain_view(now, plan).actual(at).is_none();
        if absent {
            self.status_outdated[at] = true;
            self.target_states[at].set_status(now, Some(BlockReason::NotObserved));
            return;
        }
        if !std::mem::take(&mut self.status_outdated[at]) {
            return;
        }
        let status = match self.step_of(plan, at) {
            Some(NeededStep::Converged) => None,
            Some(NeededStep::Blocked(reason)) => Some(reason),
            _ => Some(BlockReason::OrderDue),
        };
        self.target_states[at].set_status(now, status);
    }

    /// Next step of the target at position `at` by its last observation.
    pub(super) fn step_of(&self, plan: &DomainPlan, at: usize) -> Option<NeededStep> {
        let gates = RolloutGates {
            plan,
            failures: &self.failures,
            state: &self.target_states[at],
            halt_rule: self.settings.guards.halt_rule,
            repeat_limit: self.settings.timing.repeat_limit,
        };
        let actual = self.actual_states[at].as_ref()?;
        Some(next_step(&plan.targets[at], actual, &gates))
    }

    /// Sends the next order to an owned target if everything allows it. Returns why the target is
    /// not in its declared state, or `None` if it is.
    pub(super) fn reconcile_target(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        wants: &mut Vec<WantedPermit>,
    ) -> Option<BlockReason> {
        if self.target_states[at].has_order_in_flight(now) {
            return Some(BlockReason::OrderPending);
        }
        if let Some(reason) = self.check_observed(now, plan, at) {
            return Some(reason);
        }
        self.record_failures(now, plan, at);
        let step = self.step_of(plan, at)?;
        let target = &plan.targets[at].name;
        let (action, required, rollout) = match step {
            NeededStep::Converged => {
                self.holder.release(target);
                return None;
            }
            NeededStep::Blocked(reason) => {
                if reason != BlockReason::Loading {
                    self.holder.release(target);
                }
                return Some(reason);
            }
            NeededStep::Order(action, required, rollout) => (action, required, rollout),
        };
        let retry_at = self.target_states[at].retry_at(&action);
        if self.settings.guards.backoff && retry_at.is_some_and(|retry_at| now < retry_at) {
            self.holder.release(target);
            return Some(BlockReason::BackingOff);
        }
        let name = rollout.map(|position| plan.rollouts[position].name.clone());
        if !self.has_permit(target, &required) {
            let reason = self.holder.refusal(target);
            wants.extend(WantedPermit::new(target.clone(), &required, name));
            return Some(reason);
        }
        if self.settings.guards.reprobe && !self.is_reprobed(now, at) {
            return Some(BlockReason::OrderDue);
        }
        self.send_order(now, plan, at, action, rollout);
        Some(BlockReason::OrderPending)
    }

    /// Checks that there is a recent enough observation of the target; otherwise requests a probe
    /// and returns the reason to wait.
    pub(super) fn check_observed(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
    ) -> Option<BlockReason> {
        let timing = &self.settings.timing;
        let view = self.domain_view(now, plan);
        let seen = view.actual(at);
        let state = &self.target_states[at];
        if seen.is_some_and(|actual| state.accepts(actual)) {
            return None;
        }
        if seen.is_none() {
            self.holder.release(&plan.targets[at].name);
        }
        let state = &mut self.target_states[at];
        if now <= state.observe_after() {
            return Some(BlockReason::Settling);
        }
        if state.claim_probe(now, timing) {
            let probe = ReconcilerAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
        Some(BlockReason::NotObserved)
    }

    /// Tells whether the required permit is held; releases a held permit that is not the required
    /// one.
    pub(super) fn has_permit(&mut self, target: &TargetName, required: &RequiredPermit) -> bool {
        if *required == RequiredPermit::None {
            // A load may just have finished. The next order needs no permit, and other targets may
            // be waiting for the one that is held.
            self.holder.release(target);
            return true;
        }
        match self.holder.find(target) {
            Some(permit) if permit.covers(required) => true,
            Some(_) => {
                self.holder.release(target);
                false
            }
            None => false,
        }
    }

    /// Tells whether the target was probed for the next order; otherwise requests a probe.
    pub(super) fn is_reprobed(&mut self, now: ClockTime, at: usize) -> bool {
        let timing = &self.settings.timing;
        let state = &mut self.target_states[at];
        let actual = self.actual_states[at].as_ref();
        if actual.is_some_and(|actual| state.is_reprobed(now, actual, timing)) {
            return true;
        }
        state.begin_reprobe(now, timing);
        if state.claim_probe(now, timing) {
            let probe = ReconcilerAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
        false
    }

    /// Issues an order with a new fencing number and records it as in flight.
    pub(super) fn send_order(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        action: OrderAction,
        rollout: Option<usize>,
    ) {
        let target = &plan.targets[at].name;
        let wall = self.settings.wall_offset + now.as_millis();
        let fencing = match self.settings.guards.fencing {
            true => self.clock.issue(plan.revision, wall),
            false => FencingNumber::default(),
        };
        let permit = self.holder.find(target);
        let rate = permit
            .and_then(|permit| permit.rate)
            .filter(|_| action.is_load());
        let incarnation = self.actual_states[at]
            .as_ref()
            .map(|actual| actual.incarnation);
        if let Some(position) = rollout
            && action.is_load()
        {
            self.target_states[at].consume_retry(&plan.rollouts[position].key);
        }
        let order = TargetOrder {
            target: target.clone(),
            incarnation: incarnation.unwrap_or_default(),
            fencing,
            action,
            rate,
            issued_at: now,
        };
        self.holder.mark_used(target);
        let jitter = self.random.random();
        self.target_states[at].record_order(now, order.clone(), jitter, &self.settings.timing);
        let (kind, detail) = (EventKind::OrderSent, format_smolstr!("{order}"));
        self.actions.push(ReconcilerAction::Log { kind, detail });
        self.actions.push(ReconcilerAction::Order(order));
    }

    /// Records the failures that an owned target shows and logs the rollouts that this halts.
    pub(super) fn record_failures(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) {
        let target = &plan.targets[at];
        for wanted in &target.wanted {
            let Some(reason) = self.version_failure(plan, at, wanted) else {
                continue;
            };
            for rollout in &wanted.rollouts {
                if self.failures.has_failed(*rollout, &target.name) {
                    continue;
                }
                self.failures_sent = false;
                let name = target.name.clone();
                let halted = self.failures.add(now, plan, *rollout, name, reason.clone());
                if halted {
                    let detail = halt_text(plan, &self.failures, *rollout);
                    let kind = EventKind::RolloutHalted;
                    self.actions.push(ReconcilerAction::Log { kind, detail });
                }
            }
        }
    }

    /// Reason for which a wanted version counts as failed on the target, if it does.
    ///
    /// A reported failure does not count if the version may be retried. Insufficient memory counts
    /// only after the limit of attempts and if nothing can be unloaded. Without a reported failure,
    /// the limit of orders without any effect counts.
    pub(super) fn version_failure(
        &self,
        plan: &DomainPlan,
        at: usize,
        wanted: &WantedVersion,
    ) -> Option<SmolStr> {
        let actual = self.actual_states[at].as_ref()?;
        let state = &self.target_states[at];
        let limit = self.settings.timing.repeat_limit;
        let entry = actual.version(&wanted.model, &wanted.version);
        if let Some(LoadState::Failed {
            reason,
            memory_full,
        }) = entry.map(|entry| &entry.state)
        {
            let mut keys = wanted.rollouts.iter();
            let retry = keys.any(|at| state.may_retry(&plan.rollouts[*at].key));
            let has_victim = || find_victim(&plan.targets[at], wanted, actual).is_some();
            let is_exhausted = state.load_count(wanted) >= limit;
            let failed = !retry && (!memory_full || is_exhausted && !has_victim());
            return failed.then(|| reason.clone());
        }
        let ineffective =
            !wanted.is_served(actual) && state.ineffective_load_count(wanted) >= limit;
        ineffective.then(|| format_smolstr!("no effect after {limit} orders"))
    }
}
