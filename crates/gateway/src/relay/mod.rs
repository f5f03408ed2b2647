//! Calls on their way from a caller to a target and back.

mod answer_word;
mod call_audit;
mod call_handler;
mod call_input;
mod caller_feed;
mod crash_watch;
mod failure_response;
mod move_times;
mod plain_call;
mod stream_call;
mod stream_move;
mod stream_pump;
mod target_send;
mod whole_answer;

pub use call_audit::CallAudit;
pub use call_handler::CallHandler;
pub use crash_watch::end_run;
