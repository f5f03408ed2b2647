use base::{ClockTime, RevisionNumber, TargetName};
use smol_str::SmolStr;

use super::{RolloutKey, RolloutSummary};
use crate::DomainPlan;

#[derive(Clone, Debug)]
struct FailureEntry {
    summary: RolloutSummary,
    halted_since: Option<ClockTime>,
}

/// Failures of the rollouts of one domain, by rollout.
#[derive(Clone, Debug, Default)]
pub struct FailureCount {
    entries: Vec<FailureEntry>,
}

impl FailureCount {
    /// Starts over for the rollouts of `plan` that differ from before; keeps the others.
    pub fn set_plan(&mut self, plan: &DomainPlan) {
        let old = std::mem::take(&mut self.entries);
        let kept = |key: &RolloutKey| old.iter().find(|entry| entry.summary.key == *key).cloned();
        let fresh = |key: &RolloutKey| FailureEntry {
            summary: RolloutSummary::new(key.clone(), plan.revision),
            halted_since: None,
        };
        let keys = plan.rollouts.iter().map(|rollout| &rollout.key);
        self.entries = keys
            .map(|key| kept(key).unwrap_or_else(|| fresh(key)))
            .collect();
    }

    /// Adds a failure of the rollout at `at`; returns whether the rollout halts by it.
    pub fn add(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        at: usize,
        target: TargetName,
        reason: SmolStr,
    ) -> bool {
        self.entries[at].summary.add(target, reason);
        self.note_halt(now, plan, at)
    }

    /// Adds the failures that a peer knows of; returns the rollouts that halt by them.
    pub fn merge(
        &mut self,
        now: ClockTime,
        plan: &DomainPlan,
        summaries: &[RolloutSummary],
    ) -> Vec<usize> {
        let mut halted = Vec::new();
        for summary in summaries {
            let same = |entry: &FailureEntry| entry.summary.key == summary.key;
            let Some(at) = self.entries.iter().position(same) else {
                continue;
            };
            self.entries[at].summary.merge(summary);
            if self.note_halt(now, plan, at) {
                halted.push(at);
            }
        }
        halted
    }

    /// Number of targets that failed on the rollout at `at`.
    pub fn failed(&self, at: usize) -> usize {
        self.entries[at].summary.failed.len()
    }

    /// Tells whether `target` failed on the rollout at `at`.
    pub fn has_failed(&self, at: usize, target: &TargetName) -> bool {
        let failed = &self.entries[at].summary.failed;
        failed
            .binary_search_by(|(name, _)| name.cmp(target))
            .is_ok()
    }

    /// Since when the rollout at `at` is halted.
    pub fn halted_since(&self, at: usize) -> Option<ClockTime> {
        self.entries[at].halted_since
    }

    /// Targets that failed on the rollout at `at`, with what they said.
    pub fn describe(&self, at: usize) -> SmolStr {
        let failed = &self.entries[at].summary.failed;
        let parts: Vec<_> = failed
            .iter()
            .take(3)
            .map(|(target, reason)| format!("{target}: {reason}"))
            .collect();
        SmolStr::new(format!("{} failed ({})", failed.len(), parts.join("; ")))
    }

    /// Summaries with failures, for peers; empty while nothing has failed.
    pub fn summaries(&self) -> Vec<RolloutSummary> {
        let failing = |entry: &&FailureEntry| !entry.summary.failed.is_empty();
        let entries = self.entries.iter().filter(failing);
        entries.map(|entry| entry.summary.clone()).collect()
    }

    /// Lowest revision in which a failure of the rollout at `at` was seen.
    pub fn revision(&self, at: usize) -> RevisionNumber {
        self.entries[at].summary.revision
    }

    fn note_halt(&mut self, now: ClockTime, plan: &DomainPlan, at: usize) -> bool {
        let entry = &mut self.entries[at];
        let over = entry.summary.failed.len() >= plan.rollouts[at].failure_limit;
        if !over || entry.halted_since.is_some() {
            return false;
        }
        entry.halted_since = Some(now);
        true
    }
}
