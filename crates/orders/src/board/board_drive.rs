use base::{ClockTime, EventKind, TargetName};
use rand::Rng;
use smol_str::{SmolStr, format_smolstr};

use super::order_board::halt_text;
use super::rollout_gates::RolloutGates;
use super::{BoardAction, OrderBoard};
use crate::reconcile::find_victim;
use crate::{
    BlockReason, DomainPlan, FencingNumber, LoadState, NeededStep, OrderAction, SlotWant, StepNeed,
    TargetOrder, WantedVersion, next_step,
};

/// The way from an observation to an order.
impl OrderBoard {
    pub(super) fn drive_all(&mut self, now: ClockTime, blocked: Option<BlockReason>) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        self.holder.drop_aged(now, &self.settings.timing);
        let mut wants = Vec::new();
        for at in 0..self.loops.len() {
            if !self.loops[at].is_owned() {
                self.watch(now, &plan, at);
                continue;
            }
            let status = match blocked {
                Some(reason) => Some(reason),
                None => self.drive(now, &plan, at, &mut wants),
            };
            self.loops[at].set_status(now, status);
        }
        self.plan = Some(plan);
        if blocked.is_none() {
            self.ask_loader(now, wants);
        }
    }

    /// Without this a report between a new plan and the next tick would show the old verdict.
    pub(super) fn watch_all(&mut self, now: ClockTime) {
        let Some(plan) = self.plan.take() else {
            return;
        };
        for at in 0..self.loops.len() {
            self.watch(now, &plan, at);
        }
        self.plan = Some(plan);
    }

    /// Keeps the status of a target that another node gives orders to.
    pub(super) fn watch(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) {
        let absent = self.domain_view(now, plan).actual(at).is_none();
        if absent {
            self.stale_rows[at] = true;
            self.loops[at].set_status(now, Some(BlockReason::NotObserved));
            return;
        }
        if !std::mem::take(&mut self.stale_rows[at]) {
            return;
        }
        let status = match self.step_of(plan, at) {
            Some(NeededStep::Converged) => None,
            Some(NeededStep::Blocked(reason)) => Some(reason),
            _ => Some(BlockReason::OrderDue),
        };
        self.loops[at].set_status(now, status);
    }

    pub(super) fn step_of(&self, plan: &DomainPlan, at: usize) -> Option<NeededStep> {
        let gates = RolloutGates {
            plan,
            failures: &self.failures,
            state: &self.loops[at],
            halt_rule: self.settings.guards.halt_rule,
            repeat_limit: self.settings.timing.repeat_limit,
        };
        let actual = self.actuals[at].as_ref()?;
        Some(next_step(&plan.targets[at], actual, &gates))
    }

    /// Takes one target forward and returns what stands in its way.
    pub(super) fn drive(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        wants: &mut Vec<SlotWant>,
    ) -> Option<BlockReason> {
        if self.loops[at].has_order(now) {
            return Some(BlockReason::OrderPending);
        }
        if let Some(reason) = self.check_observed(now, plan, at) {
            return Some(reason);
        }
        self.note_failures(now, plan, at);
        let step = self.step_of(plan, at)?;
        let target = &plan.targets[at].name;
        let (action, need, rollout) = match step {
            NeededStep::Converged => {
                self.holder.give_back(target);
                return None;
            }
            NeededStep::Blocked(reason) => {
                if reason != BlockReason::Loading {
                    self.holder.give_back(target);
                }
                return Some(reason);
            }
            NeededStep::Order(action, need, rollout) => (action, need, rollout),
        };
        let open_at = self.loops[at].open_at(&action);
        if self.settings.guards.backoff && open_at.is_some_and(|open_at| now < open_at) {
            self.holder.give_back(target);
            return Some(BlockReason::BackingOff);
        }
        let name = rollout.map(|position| plan.rollouts[position].name.clone());
        if !self.is_covered(target, &need) {
            let reason = self.holder.refusal(target);
            wants.extend(SlotWant::new(target.clone(), &need, name));
            return Some(reason);
        }
        if self.settings.guards.reread && !self.is_reread(now, at) {
            return Some(BlockReason::OrderDue);
        }
        self.send_order(now, plan, at, action, rollout);
        Some(BlockReason::OrderPending)
    }

    pub(super) fn check_observed(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
    ) -> Option<BlockReason> {
        let timing = &self.settings.timing;
        let view = self.domain_view(now, plan);
        let seen = view.actual(at);
        let state = &self.loops[at];
        if seen.is_some_and(|actual| state.accepts(actual)) {
            return None;
        }
        if seen.is_none() {
            self.holder.give_back(&plan.targets[at].name);
        }
        let state = &mut self.loops[at];
        if now <= state.need_after() {
            return Some(BlockReason::Settling);
        }
        if state.take_probe(now, timing) {
            let probe = BoardAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
        Some(BlockReason::NotObserved)
    }

    pub(super) fn is_covered(&mut self, target: &TargetName, need: &StepNeed) -> bool {
        if *need == StepNeed::Free {
            // The load is over; what follows needs no leave, and others wait for it.
            self.holder.give_back(target);
            return true;
        }
        match self.holder.find(target) {
            Some(slot) if slot.covers(need) => true,
            Some(_) => {
                self.holder.give_back(target);
                false
            }
            None => false,
        }
    }

    pub(super) fn is_reread(&mut self, now: ClockTime, at: usize) -> bool {
        let timing = &self.settings.timing;
        let state = &mut self.loops[at];
        let actual = self.actuals[at].as_ref();
        if actual.is_some_and(|actual| state.is_reread(now, actual, timing)) {
            return true;
        }
        state.begin_reread(now, timing);
        if state.take_probe(now, timing) {
            let probe = BoardAction::Probe(state.target().clone());
            self.actions.push(probe);
        }
        false
    }

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
        let slot = self.holder.find(target);
        let rate = slot.and_then(|slot| slot.rate).filter(|_| action.is_load());
        let run = self.actuals[at].as_ref().map(|actual| actual.incarnation);
        if let Some(position) = rollout
            && action.is_load()
        {
            self.loops[at].use_retry(&plan.rollouts[position].key);
        }
        let order = TargetOrder {
            target: target.clone(),
            incarnation: run.unwrap_or_default(),
            fencing,
            action,
            rate,
            issued_at: now,
        };
        self.holder.begin_use(target);
        let jitter = self.random.random();
        self.loops[at].begin(now, order.clone(), jitter, &self.settings.timing);
        let (kind, detail) = (EventKind::OrderSent, format_smolstr!("{order}"));
        self.actions.push(BoardAction::Log { kind, detail });
        self.actions.push(BoardAction::Order(order));
    }

    /// Counts the failures that an owned target shows.
    pub(super) fn note_failures(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) {
        let target = &plan.targets[at];
        for wanted in &target.wanted {
            let Some(reason) = self.failure_of(plan, at, wanted) else {
                continue;
            };
            for rollout in &wanted.rollouts {
                if self.failures.has_failed(*rollout, &target.name) {
                    continue;
                }
                self.told_failures = false;
                let name = target.name.clone();
                let halted = self.failures.add(now, plan, *rollout, name, reason.clone());
                if halted {
                    let detail = halt_text(plan, &self.failures, *rollout);
                    let kind = EventKind::RolloutHalted;
                    self.actions.push(BoardAction::Log { kind, detail });
                }
            }
        }
    }

    pub(super) fn failure_of(
        &self,
        plan: &DomainPlan,
        at: usize,
        wanted: &WantedVersion,
    ) -> Option<SmolStr> {
        let actual = self.actuals[at].as_ref()?;
        let state = &self.loops[at];
        let limit = self.settings.timing.repeat_limit;
        let entry = actual.version(&wanted.model, &wanted.version);
        if let Some(LoadState::Failed {
            reason,
            memory_full,
        }) = entry.map(|entry| &entry.state)
        {
            let mut keys = wanted.rollouts.iter();
            let retry = keys.any(|at| state.may_retry(&plan.rollouts[*at].key));
            let room = || find_victim(&plan.targets[at], wanted, actual).is_some();
            let tried = state.repeats_load(wanted) >= limit;
            let failed = !retry && (!memory_full || tried && !room());
            return failed.then(|| reason.clone());
        }
        let vain = !wanted.is_served(actual) && state.vain_loads(wanted) >= limit;
        vain.then(|| format_smolstr!("no effect after {limit} orders"))
    }
}
