//! Actors that own the mutable state of a node, and the handles that send them messages.

mod actor_queue;
mod fleet_handle;
mod fleet_state;
mod sched_handle;
mod sched_state;

pub use actor_queue::ActorQueue;
pub use fleet_handle::FleetHandle;
pub use fleet_state::{
    FleetActor, FleetParts, FleetStatus, NodeIdentity, ProbeResult, target_digest,
};
pub use sched_handle::{CallPlacement, SchedHandle};
pub use sched_state::{SchedActor, SchedOutput};
