//! The subcommands of the command line.

mod async_runtime;
mod check_command;
mod exit_code;
mod exit_deadline;
mod gateway_command;
mod load_command;
mod load_over_http;
mod load_virtual;
mod main_command;
mod node_command;
mod standin_command;
mod start_wait;
mod status_command;
mod stop_signals;
mod timeline_command;

pub use async_runtime::run_single_threaded;
pub use exit_code::{EXIT_FAILURE, EXIT_SUCCESS};
pub use main_command::MainCommand;
pub use stop_signals::stop_signal;
