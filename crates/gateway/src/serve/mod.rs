//! Start, shutdown and background tasks of a gateway process.

mod gateway_server;

pub use gateway_server::{GatewayServer, StartError};
