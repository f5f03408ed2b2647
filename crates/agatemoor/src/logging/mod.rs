//! Logging to standard error, or through a bounded queue to standard output.

mod bounded_output;
mod log_format;

pub use bounded_output::{LogWriter, start_bounded_logging};
pub use log_format::{LogFormat, start_logging};
