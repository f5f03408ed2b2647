//! Actors that own the mutable state of a node.

mod actor_queue;
mod fleet_handle;
mod fleet_state;
mod sched_actor;
mod sched_handle;

pub use actor_queue::ActorQueue;
pub use fleet_handle::FleetHandle;
pub use fleet_state::{
    FleetActor, FleetParts, FleetStatus, NodeIdentity, ProbeResult, target_digest,
};
pub use sched_actor::{SchedActor, SchedOutput};
pub use sched_handle::{CallPlacement, SchedHandle};
