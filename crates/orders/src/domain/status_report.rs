use base::{ClockTime, EventKind, TargetName};
use smol_str::{SmolStr, format_smolstr};

use super::{DomainReconciler, ReconcilerAction};
use crate::{ActualState, ConvergenceReport, NeededStep, RolloutRow, RolloutState, TargetRow};

/// Status and convergence report for operators.
impl DomainReconciler {
    /// Next step of a target by its last observation, whichever node owns the target.
    pub fn next_step(&self, target: &TargetName) -> Option<NeededStep> {
        self.step_of(self.plan.as_ref()?, self.position(target)?)
    }

    /// Progress of a rollout in this domain.
    pub fn rollout_state(&self, now: ClockTime, name: &str) -> Option<RolloutState> {
        let at = self.plan.as_ref()?.rollout(name)?;
        Some(self.rollout_row(now, at)?.state)
    }

    /// Declared and actual state of the domain as this node sees it.
    pub fn report(&self, now: ClockTime) -> ConvergenceReport {
        let mut report = ConvergenceReport {
            now,
            ..ConvergenceReport::default()
        };
        let Some(plan) = &self.plan else {
            report.missing.push(self.settings.domain.clone());
            return report;
        };
        report.domains.push(plan.domain.clone());
        for (at, target) in plan.targets.iter().enumerate() {
            let actual = self.actual_states[at].as_ref();
            report.targets.push(TargetRow {
                domain: plan.domain.clone(),
                target: target.name.clone(),
                revision: plan.revision,
                declared: format_smolstr!("{target}"),
                actual: actual.map(actual_text).unwrap_or_default(),
                blocked: self.target_states[at].status(),
                since: self.target_states[at].since(),
                owned: self.target_states[at].is_owned(),
            });
        }
        let rows = (0..plan.rollouts.len()).filter_map(|at| self.rollout_row(now, at));
        report.rollouts = rows.filter(|row| row.selected > 0).collect();
        report
    }

    /// Records since when each rollout has had its state, and logs when the domain becomes
    /// converged.
    pub(super) fn update_rollout_states(&mut self, now: ClockTime) {
        for at in 0..self.rollout_states.len() {
            let Some(row) = self.rollout_row(now, at) else {
                continue;
            };
            if self.rollout_states[at].0 != row.state {
                self.rollout_states[at] = (row.state, now);
            }
        }
        let converged = self
            .target_states
            .iter()
            .all(|state| state.status().is_none());
        if converged && !self.was_converged {
            let (kind, detail) = (EventKind::FleetConverged, SmolStr::default());
            self.actions.push(ReconcilerAction::Log { kind, detail });
        }
        self.was_converged = converged;
    }

    /// Row of the rollout at position `at` for the convergence report.
    pub(super) fn rollout_row(&self, now: ClockTime, at: usize) -> Option<RolloutRow> {
        let plan = self.plan.as_ref()?;
        let rollout = &plan.rollouts[at];
        let view = self.domain_view(now, plan);
        let (mut ready, mut started) = (0, 0);
        for position in &rollout.selected {
            let Some(actual) = view.actual(*position) else {
                continue;
            };
            let wanted = plan.targets[*position].wanted.iter();
            let mut in_rollout = wanted.filter(|wanted| wanted.rollouts.contains(&at));
            ready += usize::from(in_rollout.any(|wanted| wanted.is_served(actual)));
            started += usize::from(actual.version(&rollout.model, &rollout.version).is_some());
        }
        let state = match self.failures.halted_since(at) {
            Some(since) => RolloutState::Halted {
                reason: self.failures.describe(at),
                since,
            },
            None if ready == rollout.selected.len() => RolloutState::Done,
            None if started > 0 => RolloutState::Progressing,
            None => RolloutState::Pending,
        };
        Some(RolloutRow {
            domain: plan.domain.clone(),
            rollout: rollout.name.clone(),
            version: rollout.version.clone(),
            revision: plan.revision,
            state,
            ready,
            selected: rollout.selected.len(),
            failed: self.failures.failed_count(at),
            since: self.rollout_states[at].1,
        })
    }
}

/// Text of an actual state for the report: role, versions and whether the target is leaving.
fn actual_text(actual: &ActualState) -> SmolStr {
    let role = actual.role.map(|role| role.to_string());
    let versions = actual.versions.iter().map(ToString::to_string);
    let leaving = actual.leaving.then(|| "leaving".to_owned());
    let parts: Vec<String> = role.into_iter().chain(versions).chain(leaving).collect();
    SmolStr::new(parts.join(" "))
}
