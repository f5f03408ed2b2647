use base::{ClockTime, ModelName, TimeSpan};

use crate::{DomainPlan, FailureCount, LoopTiming, TargetActual};

/// What a node sees of its domain at one moment.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// The moment.
    pub now: ClockTime,
    /// Observations made at this moment or before do not count.
    pub since: ClockTime,
    /// Plan of the domain.
    pub plan: &'a DomainPlan,
    /// Latest observations, in the order of the targets of the plan.
    pub actuals: &'a [Option<TargetActual>],
    /// Failures of the rollouts.
    pub failures: &'a FailureCount,
    /// Times and limits.
    pub timing: &'a LoopTiming,
}

impl<'a> DomainView<'a> {
    /// State of a target, unless the target is absent.
    pub fn actual(&self, position: usize) -> Option<&'a TargetActual> {
        self.actual_within(position, self.timing.absent_after)
    }

    /// State of a target, unless the last observation is older than `age`.
    pub fn actual_within(&self, position: usize, age: TimeSpan) -> Option<&'a TargetActual> {
        let actual = self.actuals[position].as_ref()?;
        let counts = actual.observed_at > self.since && self.now - actual.observed_at <= age;
        counts.then_some(actual)
    }

    /// Targets that serve the model by a fresh observation, without those in `excluded`.
    pub fn count_ready(&self, model: &ModelName, excluded: &[usize]) -> usize {
        let age = self.timing.capacity_age;
        let positions = (0..self.actuals.len()).filter(|position| !excluded.contains(position));
        positions
            .filter_map(|position| self.actual_within(position, age))
            .filter(|actual| actual.serves(model))
            .count()
    }
}
