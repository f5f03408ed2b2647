//! Sequences that wait or run.

mod sequence_state;
mod wait_queue;

pub use sequence_state::SequenceState;
pub use wait_queue::WaitQueue;
