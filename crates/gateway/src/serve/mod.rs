//! Start, shutdown and background tasks of a gateway process.

mod gateway_listeners;
mod gateway_server;
mod listener_task;
mod settings_reloader;
mod task_supervisor;

pub use gateway_listeners::{GatewayListeners, StartError};
pub use gateway_server::GatewayServer;
pub use listener_task::ListenerTask;
pub use task_supervisor::{log_panics, spawn_supervised, with_task_name};
