use base::{ByteRate, ModelName, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::StepNeed;

/// Leave that the owner of a target holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// Target.
    pub target: TargetName,
    /// Rate at which the target may read from the weight store; `None` without a load.
    pub rate: Option<ByteRate>,
    /// Model that the target may stop serving.
    pub lost: Option<ModelName>,
    /// Rollout that the step belongs to.
    pub rollout: Option<SmolStr>,
}

impl HeldSlot {
    /// Tells whether this leave suffices for a step.
    pub fn covers(&self, need: &StepNeed) -> bool {
        match need {
            StepNeed::Free => true,
            StepNeed::Slot => self.rate.is_some(),
            StepNeed::Swap(model) => self.rate.is_some() && self.lost.as_ref() == Some(model),
            StepNeed::Drain(model) => self.lost.as_ref() == Some(model),
        }
    }
}
