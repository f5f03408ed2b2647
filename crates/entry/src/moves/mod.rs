//! Moves of running generations from engines that leave.

mod copy_locks;
mod move_plan;
mod move_turns;
mod stream_facts;

pub use copy_locks::CopyLocks;
pub use move_plan::{MovePhase, MovePlan, MoveStep};
pub use move_turns::{MoveTurn, MoveTurns};
pub use stream_facts::StreamFacts;
