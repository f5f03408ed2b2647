//! Forwards calls from callers to targets and responses back.
//!
//! `CallHandler` reads a request, matches its route and checks its key. Plain calls are relayed once
//! the whole response has arrived; streams of events are relayed as they arrive and move to another
//! engine when theirs leaves.

mod access_entry;
mod admitted_call;
mod buffered_response;
mod call_admission;
mod call_handler;
mod crash_detection;
mod failure_response;
mod move_times;
mod plain_call;
mod response_sender;
mod stream_call;
mod stream_move;
mod stream_relay;
mod target_run;
mod target_send;

pub use access_entry::AccessEntry;
pub use admitted_call::{AdmittedCall, strip_hop_by_hop_headers};
pub use buffered_response::{BufferedResponse, LeasedBody, deliver_response};
pub use call_handler::{CallHandler, serve_call};
pub use crash_detection::check_ended_run;
pub use failure_response::close_if_stopping;
pub use response_sender::{ChunkOutcome, ResponseSender};
