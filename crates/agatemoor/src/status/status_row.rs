use base::{ClockTime, DomainName, TargetName};
use node::{StatusPage, StatusTarget, TargetPhase};
use orders::{RolloutRow, RolloutState, TargetRow};
use serde::Serialize;
use smol_str::SmolStr;

/// Target or rollout that a row describes; in JSON the field `target` or `rollout`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusSubject {
    /// One target.
    Target(TargetName),
    /// One rollout in one domain.
    Rollout(SmolStr),
}

/// Declared and actual state of one target or rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StatusRow {
    /// Failure domain.
    pub domain: DomainName,
    /// The target or rollout that the row describes.
    #[serde(flatten)]
    pub subject: StatusSubject,
    /// Declared state.
    pub declared: String,
    /// State as last observed; empty if never observed.
    pub actual: String,
    /// Whether the actual state is the declared one.
    pub converged: bool,
    /// What blocks convergence; empty if nothing does.
    pub reason: String,
    /// How long this state has lasted, in milliseconds before the response.
    pub since_ms: u64,
}

impl StatusRow {
    /// Creates the row of a target from the convergence report of a domain.
    pub(super) fn from_target_row(row: &TargetRow, now: ClockTime) -> Self {
        Self {
            domain: row.domain.clone(),
            subject: StatusSubject::Target(row.target.clone()),
            declared: row.declared.to_string(),
            actual: row.actual.to_string(),
            converged: row.blocked.is_none(),
            reason: row
                .blocked
                .map_or("", |reason| reason.sentence())
                .to_owned(),
            since_ms: (now - row.since).as_millis(),
        }
    }

    /// Creates the row of a rollout from the convergence report of a domain.
    pub(super) fn from_rollout_row(row: &RolloutRow, now: ClockTime) -> Self {
        let reason = match &row.state {
            RolloutState::Done => String::new(),
            RolloutState::Halted { reason, .. } => format!("The rollout halted: {reason}"),
            RolloutState::Pending | RolloutState::Progressing => {
                "Not every target serves the version.".to_owned()
            }
        };
        Self {
            domain: row.domain.clone(),
            subject: StatusSubject::Rollout(row.rollout.clone()),
            declared: row.version.to_string(),
            actual: format!("{} {}/{}", row.state, row.ready, row.selected),
            converged: matches!(row.state, RolloutState::Done),
            reason,
            since_ms: (now - row.since).as_millis(),
        }
    }

    /// Creates the row of a target from the result of the probes of one node.
    pub(super) fn from_probe(page: &StatusPage, target: &StatusTarget) -> Self {
        let reason = match target.phase {
            TargetPhase::Up => "",
            TargetPhase::Unknown => "The target has not answered yet.",
            TargetPhase::Leaving => "The target is leaving.",
            TargetPhase::Down => "The target does not answer.",
        };
        Self {
            domain: page.domain.clone(),
            subject: StatusSubject::Target(target.target.clone()),
            declared: TargetPhase::Up.to_string(),
            actual: target.phase.to_string(),
            converged: target.phase == TargetPhase::Up,
            reason: reason.to_owned(),
            since_ms: target.phase_age_ms,
        }
    }

    /// Marks the row as not converged if a probe found the same target not up; a row that is
    /// already blocked keeps its own reason.
    pub(super) fn apply_probe(&mut self, probe: Self) {
        if probe.converged || !self.converged {
            return;
        }
        self.converged = false;
        self.actual = format!("{} {}", probe.actual, self.actual);
        self.reason = probe.reason;
        self.since_ms = probe.since_ms;
    }
}
