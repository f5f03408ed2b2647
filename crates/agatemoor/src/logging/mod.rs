//! Logs on standard error, or bounded on standard output.

mod bounded_output;
mod log_format;

pub use bounded_output::start_bounded_logging;
pub use log_format::{LogFormat, start_logging};
