//! Actors that own the mutable state of a node.

mod fleet_handle;
mod fleet_state;
mod post;
mod sched_actor;
mod sched_handle;

pub use fleet_handle::FleetHandle;
pub use fleet_state::{
    FleetActor, FleetParts, FleetStatus, NodeIdentity, ProbeResult, target_digest,
};
pub use post::post_now;
pub use sched_actor::{SchedActor, SchedOutput};
pub use sched_handle::{CallPlacement, SchedHandle};
