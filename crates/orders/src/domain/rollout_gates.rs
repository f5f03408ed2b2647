use crate::{BlockReason, DomainPlan, ReconcileState, RolloutFailures, StepGates, WantedVersion};

/// Step gates of one target, decided by halted rollouts, changed rollouts and earlier attempts.
pub struct RolloutGates<'a> {
    pub plan: &'a DomainPlan,
    pub failures: &'a RolloutFailures,
    pub state: &'a ReconcileState,
    pub halt_rule: bool,
    pub repeat_limit: u32,
}

impl RolloutGates<'_> {
    /// Reason to block a step towards a wanted version, if its rollout is halted.
    fn halt_reason(&self, wanted: &WantedVersion) -> Option<BlockReason> {
        let mut rollouts = wanted.rollouts.iter();
        let halted = rollouts.any(|at| self.failures.halted_since(*at).is_some());
        (self.halt_rule && halted).then_some(BlockReason::RolloutHalted)
    }
}

impl StepGates for RolloutGates<'_> {
    fn blocks_load(&self, wanted: &WantedVersion) -> Option<BlockReason> {
        self.halt_reason(wanted)
    }

    fn blocks_unload(&self, wanted: &WantedVersion) -> Option<BlockReason> {
        self.halt_reason(wanted)
    }

    fn may_retry(&self, wanted: &WantedVersion) -> bool {
        let key = wanted
            .rollouts
            .first()
            .map(|at| &self.plan.rollouts[*at].key);
        key.is_some_and(|key| self.state.may_retry(key))
            || self.state.lacks_memory(wanted) && self.state.load_count(wanted) < self.repeat_limit
    }
}
