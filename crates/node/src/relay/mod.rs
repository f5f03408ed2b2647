//! Relays generations: runs the attempts of a call at engines and writes the answer for the
//! caller as it arrives.

mod answer_collector;
mod answer_writer;
mod generation_job;
mod generation_relay;
mod head_wait;
mod move_trigger;
mod resume_token;

pub use answer_collector::AnswerCollector;
pub use answer_writer::AnswerWriter;
pub use generation_job::{GenerationJob, RelayContext};
pub use generation_relay::{GenerationOutput, GenerationRelay};
pub(crate) use head_wait::{HeadOutcome, HeadWait};
pub(crate) use move_trigger::MoveTrigger;
pub use resume_token::{ResumeKey, ResumeToken};
