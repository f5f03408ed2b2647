//! Moves of running generations off leaving engines to others.

mod copy_locks;
mod move_machine;
mod move_scheduler;
mod stream_progress;

pub use copy_locks::CopyLocks;
pub use move_machine::{MoveMachine, MovePhase, MoveStep};
pub use move_scheduler::{MoveScheduler, MoveTurn};
pub use stream_progress::StreamProgress;
