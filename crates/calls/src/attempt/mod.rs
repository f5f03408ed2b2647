//! One call from its plan to its final answer: attempts, streams and failures.

mod attempt_state;
mod call_action;
mod call_event;
mod call_failure;
mod call_machine;
mod call_plan;
mod stream_tracker;

pub use attempt_state::AttemptState;
pub use call_action::CallAction;
pub use call_event::CallEvent;
pub use call_failure::CallFailure;
pub use call_machine::CallMachine;
pub use call_plan::{AnswerMode, CallPlan, CallPolicy, LinkNumber, ResumePoint};
pub use stream_tracker::{EndVerdict, StreamTracker, TokenVerdict};
