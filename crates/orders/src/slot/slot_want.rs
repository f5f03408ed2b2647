use base::{ModelName, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::StepNeed;

/// What the owner of a target needs for its next order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotWant {
    /// Target.
    pub target: TargetName,
    /// Whether a share of the weight store is needed.
    pub loads: bool,
    /// Model that the target stops serving for a time or for good.
    pub lost: Option<ModelName>,
    /// Rollout that the step belongs to.
    pub rollout: Option<SmolStr>,
}

impl SlotWant {
    /// Creates the want for a step; `None` if the step needs no leave.
    pub fn new(target: TargetName, need: &StepNeed, rollout: Option<SmolStr>) -> Option<Self> {
        let (loads, lost) = match need {
            StepNeed::Free => return None,
            StepNeed::Slot => (true, None),
            StepNeed::Swap(model) => (true, Some(model.clone())),
            StepNeed::Drain(model) => (false, Some(model.clone())),
        };
        Some(Self {
            target,
            loads,
            lost,
            rollout,
        })
    }
}
