//! State of one sequence, and the queue of sequences that wait for the batch.

mod sequence_state;
mod wait_queue;

pub use sequence_state::SequenceState;
pub use wait_queue::WaitQueue;
