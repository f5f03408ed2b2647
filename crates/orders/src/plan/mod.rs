//! The declared state of one domain, derived from the fleet declaration.

mod domain_plan;
mod rollout_plan;
mod target_plan;

pub use domain_plan::DomainPlan;
pub use rollout_plan::RolloutPlan;
pub use target_plan::{TargetPlan, WantedVersion};
