//! Carries out the attempts of one generation and writes the answer as it arrives.

mod answer_collector;
mod answer_writer;
mod call_job;
mod call_relay;
mod head_wait;
mod leave_watch;
mod resume_token;

pub use answer_collector::AnswerCollector;
pub use answer_writer::AnswerWriter;
pub use call_job::{CallJob, RelayParts};
pub use call_relay::{CallRelay, RelayStep};
pub(crate) use head_wait::{HeadOutcome, HeadWait};
pub(crate) use leave_watch::LeaveWatch;
pub use resume_token::{ResumeKey, ResumeToken};
