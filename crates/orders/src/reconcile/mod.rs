//! Comparison of declared and actual state of one target.

mod block_reason;
mod loop_timing;
mod needed_step;
mod next_step;
mod order_loop;
mod repeat_table;

pub use block_reason::BlockReason;
pub use loop_timing::LoopTiming;
pub use needed_step::{NeededStep, StepNeed};
pub(crate) use next_step::find_victim;
pub use next_step::{GateReader, next_step};
pub use order_loop::OrderLoop;
