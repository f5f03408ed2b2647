use base::{ClockTime, RevisionNumber, TargetName};
use smol_str::SmolStr;

use super::{FailureSummary, RolloutKey};
use crate::DomainPlan;

#[derive(Clone, Debug)]
struct FailureEntry {
    summary: FailureSummary,
    halted_since: Option<ClockTime>,
}

/// Failures of each rollout that a node knows of, and which rollouts are halted by them.
#[derive(Clone, Debug, Default)]
pub struct RolloutFailures {
    entries: Vec<FailureEntry>,
}

impl RolloutFailures {
    /// Switches to a new plan: keeps the failures of rollouts that did not change and starts the
    /// others without failures.
    pub fn set_plan(&mut self, plan: &DomainPlan) {
        let old = std::mem::take(&mut self.entries);
        let kept = |key: &RolloutKey| old.iter().find(|entry| entry.summary.key == *key).cloned();
        let fresh = |key: &RolloutKey| FailureEntry {
            summary: FailureSummary::new(key.clone(), plan.revision),
            halted_since: None,
        };
        let keys = plan.rollouts.iter().map(|rollout| &rollout.key);
        self.entries = keys
            .map(|key| kept(key).unwrap_or_else(|| fresh(key)))
            .collect();
    }

    /// Adds a failure to the rollout at position `at`; returns whether this halts the rollout.
    pub fn add(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        target: TargetName,
        reason: SmolStr,
    ) -> bool {
        self.entries[at].summary.add(target, reason);
        self.update_halt(now, plan, at)
    }

    /// Adds failures reported by a peer; returns the positions of the rollouts that this halts.
    pub fn merge(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        summaries: &[FailureSummary],
    ) -> Vec<usize> {
        let mut halted = Vec::new();
        for summary in summaries {
            let same = |entry: &FailureEntry| entry.summary.key == summary.key;
            let Some(at) = self.entries.iter().position(same) else {
                continue;
            };
            self.entries[at].summary.merge(summary);
            if self.update_halt(now, plan, at) {
                halted.push(at);
            }
        }
        halted
    }

    /// Number of targets on which the version of the rollout at position `at` failed.
    pub fn failed_count(&self, at: usize) -> usize {
        self.entries[at].summary.failed.len()
    }

    /// Tells whether the version of the rollout at position `at` failed on `target`.
    pub fn has_failed(&self, at: usize, target: &TargetName) -> bool {
        let failed = &self.entries[at].summary.failed;
        failed
            .binary_search_by(|(name, _)| name.cmp(target))
            .is_ok()
    }

    /// Since when the rollout at position `at` has been halted; `None` if it is not.
    pub fn halted_since(&self, at: usize) -> Option<ClockTime> {
        self.entries[at].halted_since
    }

    /// Describes the failures of the rollout at position `at`: their number and the first reasons.
    pub fn describe(&self, at: usize) -> SmolStr {
        let failed = &self.entries[at].summary.failed;
        let parts: Vec<_> = failed
            .iter()
            .take(3)
            .map(|(target, reason)| format!("{target}: {reason}"))
            .collect();
        SmolStr::new(format!("{} failed ({})", failed.len(), parts.join("; ")))
    }

    /// Summaries of the rollouts that have failures, to be sent to peers.
    pub fn summaries(&self) -> Vec<FailureSummary> {
        let failing = |entry: &&FailureEntry| !entry.summary.failed.is_empty();
        let entries = self.entries.iter().filter(failing);
        entries.map(|entry| entry.summary.clone()).collect()
    }

    /// Lowest revision in which a failure of the rollout at position `at` was seen.
    pub fn revision(&self, at: usize) -> RevisionNumber {
        self.entries[at].summary.revision
    }

    /// Halts the rollout if its failure limit is reached; returns whether it was not halted before.
    fn update_halt(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) -> bool {
        let entry = &mut self.entries[at];
        let limit_reached = entry.summary.failed.len() >= plan.rollouts[at].failure_limit;
        if !limit_reached || entry.halted_since.is_some() {
            return false;
        }
        entry.halted_since = Some(now);
        true
    }
}
