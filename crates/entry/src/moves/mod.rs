//! Moves of running generations off leaving engines to others.

mod copy_locks;
mod full_targets;
mod move_machine;
mod move_planner;
mod move_scheduler;
mod notice_estimate;
mod stream_progress;

pub use copy_locks::CopyLocks;
pub use full_targets::FullTargets;
pub use move_machine::{MoveMachine, MovePhase, MoveStep};
pub use move_planner::{MovePlan, MovePlanner, MoveWorth};
pub use move_scheduler::{MoveScheduler, MoveTicket, MoveTurn};
pub use notice_estimate::NoticeEstimate;
pub use stream_progress::StreamProgress;
