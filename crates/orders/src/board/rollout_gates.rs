use crate::{BlockReason, DomainPlan, FailureCount, GateReader, OrderLoop, WantedVersion};

/// Gates of one target by the state of the rollouts.
pub struct RolloutGates<'a> {
    pub plan: &'a DomainPlan,
    pub failures: &'a FailureCount,
    pub state: &'a OrderLoop,
    pub halt_rule: bool,
    pub repeat_limit: u32,
}

impl RolloutGates<'_> {
    fn is_halted(&self, wanted: &WantedVersion) -> Option<BlockReason> {
        let mut rollouts = wanted.rollouts.iter();
        let halted = rollouts.any(|at| self.failures.halted_since(*at).is_some());
        (self.halt_rule && halted).then_some(BlockReason::RolloutHalted)
    }
}

impl GateReader for RolloutGates<'_> {
    fn blocks_load(&self, wanted: &WantedVersion) -> Option<BlockReason> {
        self.is_halted(wanted)
    }

    fn blocks_unload(&self, wanted: &WantedVersion) -> Option<BlockReason> {
        self.is_halted(wanted)
    }

    fn may_retry(&self, wanted: &WantedVersion) -> bool {
        let key = wanted
            .rollouts
            .first()
            .map(|at| &self.plan.rollouts[*at].key);
        key.is_some_and(|key| self.state.may_retry(key))
            || self.state.lacks_memory(wanted)
                && self.state.repeats_load(wanted) < self.repeat_limit
    }
}
