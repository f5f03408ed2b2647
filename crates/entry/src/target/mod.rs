//! Targets: their registered records, load and health, and the choice of a target for each call.

mod backoff_memory;
mod load_balancer;
mod placement_request;
mod refusal_limit;
mod refusal_state;
mod target_backoff;
mod target_changes;
mod target_health;
mod target_load;
mod target_notices;
mod target_record;
mod target_state;

pub use backoff_memory::BackoffMemory;
pub use load_balancer::LoadBalancer;
pub use placement_request::{MoveSource, PlacementDecision, PlacementRequest, PlacementScope};
pub use refusal_limit::RefusalLimit;
pub use refusal_state::{RefusalReport, RefusalState};
pub use target_backoff::TargetBackoff;
pub use target_changes::{EndedRun, TargetChanges};
pub use target_health::{TargetHealth, TargetOutcome};
pub use target_load::{LoadOrigin, PeerLoads, TargetLoad, prefill_time};
pub use target_record::TargetRecord;
pub use target_state::{TargetPhase, TargetState};
