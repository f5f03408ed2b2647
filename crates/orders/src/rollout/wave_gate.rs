use crate::{DomainView, RolloutPlan};

/// Limits a rollout to one wave of targets at a time.
///
/// The waves are derived from the declaration alone, so every node computes the same ones.
#[derive(Clone, Copy, Debug)]
pub struct WaveGate<'a> {
    view: DomainView<'a>,
}

impl<'a> WaveGate<'a> {
    /// Creates a gate that decides by a node's view of its domain.
    pub fn new(view: DomainView<'a>) -> Self {
        Self { view }
    }

    /// Tells whether the target at `position` may be changed for the rollout at position `at`.
    ///
    /// A target that does not serve the model need not wait, since changing it reduces no capacity.
    pub fn is_open(&self, at: usize, position: usize) -> bool {
        let rollout = &self.view.plan.rollouts[at];
        let serves = self.view.actual(position);
        if !serves.is_some_and(|actual| actual.serves(&rollout.model)) {
            return true;
        }
        let unfinished = |wave: &&[usize]| {
            let mut positions = wave.iter();
            positions.any(|position| !self.is_finished(at, rollout, *position))
        };
        let current = rollout.waves().find(unfinished);
        current.is_none_or(|wave| wave.contains(&position))
    }

    /// Tells whether a wave need not wait for the target at `position`. Targets that failed, are
    /// leaving or are absent hold up no wave; they reduce the capacity instead.
    fn is_finished(&self, at: usize, rollout: &RolloutPlan, position: usize) -> bool {
        let target = &self.view.plan.targets[position];
        if self.view.failures.has_failed(at, &target.name) {
            return true;
        }
        let Some(actual) = self.view.actual(position) else {
            return true;
        };
        let same = |wanted: &&crate::WantedVersion| wanted.rollouts.contains(&at);
        let wanted = target.wanted.iter().find(same);
        actual.leaving
            || wanted.is_none_or(|wanted| {
                debug_assert_eq!(wanted.model, rollout.model);
                wanted.is_served(actual)
            })
    }
}
