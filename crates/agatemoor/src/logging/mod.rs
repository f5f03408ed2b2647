//! Logs on standard error.

mod log_format;

pub use log_format::{LogFormat, start_logging};
