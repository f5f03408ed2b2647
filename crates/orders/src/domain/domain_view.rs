use base::{ClockTime, ModelName, TimeSpan};

use crate::{ActualState, DomainPlan, ReconcileTiming, RolloutFailures};

/// A node's view of its domain at one moment.
#[derive(Clone, Copy, Debug)]
pub struct DomainView<'a> {
    /// Time of the view.
    pub now: ClockTime,
    /// Only observations made after this time count.
    pub since: ClockTime,
    /// Declared state of the domain.
    pub plan: &'a DomainPlan,
    /// Latest observations, in the order of the targets of the plan.
    pub actual_states: &'a [Option<ActualState>],
    /// Failures of the rollouts.
    pub failures: &'a RolloutFailures,
    /// Durations and limits.
    pub timing: &'a ReconcileTiming,
}

impl<'a> DomainView<'a> {
    /// Actual state of a target; `None` if the target is absent.
    pub fn actual(&self, position: usize) -> Option<&'a ActualState> {
        self.actual_within(position, self.timing.absent_after)
    }

    /// Actual state of a target; `None` if the last observation is older than `age`.
    pub fn actual_within(&self, position: usize, age: TimeSpan) -> Option<&'a ActualState> {
        let actual = self.actual_states[position].as_ref()?;
        let counts = actual.observed_at > self.since && self.now - actual.observed_at <= age;
        counts.then_some(actual)
    }

    /// Number of targets outside `excluded` that serve the model by a recent observation.
    pub fn count_ready(&self, model: &ModelName, excluded: &[usize]) -> usize {
        let age = self.timing.capacity_max_age;
        let positions =
            (0..self.actual_states.len()).filter(|position| !excluded.contains(position));
        positions
            .filter_map(|position| self.actual_within(position, age))
            .filter(|actual| actual.serves(model))
            .count()
    }
}
