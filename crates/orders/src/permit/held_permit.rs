use base::{ByteRate, ModelName, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::RequiredPermit;

/// Permit for one step on one target, granted to the owner of the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermit {
    /// Target.
    pub target: TargetName,
    /// Rate at which the target may read from the weight store; `None` if the step loads nothing.
    pub rate: Option<ByteRate>,
    /// Model that the step may take out of service on the target.
    #[serde(rename = "lost")]
    pub lost_model: Option<ModelName>,
    /// Rollout that the step belongs to.
    pub rollout: Option<SmolStr>,
}

impl HeldPermit {
    /// Tells whether this permit suffices for a step.
    pub fn covers(&self, required: &RequiredPermit) -> bool {
        match required {
            RequiredPermit::None => true,
            RequiredPermit::Load => self.rate.is_some(),
            RequiredPermit::Swap(model) => {
                self.rate.is_some() && self.lost_model.as_ref() == Some(model)
            }
            RequiredPermit::Drain(model) => self.lost_model.as_ref() == Some(model),
        }
    }
}
