//! Actors that own the mutable state of a node.

mod fleet_actor;
mod fleet_handle;
mod post;
mod sched_actor;
mod sched_handle;

pub use fleet_actor::{FleetActor, FleetParts, FleetStatus, NodeIdentity, ProbeResult};
pub use fleet_handle::FleetHandle;
pub use post::post_now;
pub use sched_actor::{SchedActor, SchedOutput};
pub use sched_handle::{CallPlacement, SchedHandle};
