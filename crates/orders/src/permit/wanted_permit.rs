use base::{ModelName, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::RequiredPermit;

/// Permit that the owner of a target wants for its next order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedPermit {
    /// Target.
    pub target: TargetName,
    /// Whether the order reads weights from the weight store.
    pub loads: bool,
    /// Model that the order takes out of service on the target, temporarily or for good.
    #[serde(rename = "lost")]
    pub lost_model: Option<ModelName>,
    /// Rollout that the step belongs to.
    pub rollout: Option<SmolStr>,
}

impl WantedPermit {
    /// Creates the permit wanted for a step; `None` if the step requires no permit.
    pub fn new(
        target: TargetName,
        required: &RequiredPermit,
        rollout: Option<SmolStr>,
    ) -> Option<Self> {
        let (loads, lost_model) = match required {
            RequiredPermit::None => return None,
            RequiredPermit::Load => (true, None),
            RequiredPermit::Swap(model) => (true, Some(model.clone())),
            RequiredPermit::Drain(model) => (false, Some(model.clone())),
        };
        Some(Self {
            target,
            loads,
            lost_model,
            rollout,
        })
    }
}
