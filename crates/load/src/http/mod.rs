//! Open-loop load generator that sends calls over HTTP to nodes on this machine.

mod call_body;
mod call_task;
mod load_plan;
mod load_run;
mod sse_parser;

pub use load_plan::{CallerKey, LengthHint, LoadPlan};
pub use load_run::{LoadOutcome, run_load};
pub use sse_parser::{SseEvent, SseParser};
