//! The state machine of one call, from its plan over its attempts to the final answer or failure.

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
pub use call_plan::{AnswerMode, CallPlan, CallPolicy, ConnectionNumber, ResumePoint};
pub use stream_tracker::{EndVerdict, StreamTracker, TokenVerdict};
