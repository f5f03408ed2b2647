//! Start, shutdown and background tasks of a gateway process.

mod gateway_listeners;
mod gateway_server;

pub use gateway_listeners::{GatewayListeners, StartError};
pub use gateway_server::GatewayServer;
