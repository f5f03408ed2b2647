//! Start and stop of a gateway process.

mod gateway_server;

pub use gateway_server::{GatewayServer, StartFailure};
