//! Actors that own the mutable state of a node.

mod sched_actor;
mod sched_handle;

pub use sched_actor::SchedActor;
pub use sched_handle::{CallPlacement, SchedHandle};
