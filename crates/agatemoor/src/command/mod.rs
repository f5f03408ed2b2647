//! The subcommands.

mod check_command;
mod gateway_command;
mod load_command;
mod load_over_http;
mod load_virtual;
mod main_command;
mod node_command;
mod standin_command;
mod status_command;
mod timeline_command;

pub use main_command::{EXIT_DONE, EXIT_FAILED, MainCommand};
pub use node_command::stop_signal;
