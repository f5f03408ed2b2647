//! Settings of a gateway process.

mod gateway_settings;

pub use gateway_settings::{GatewaySettings, RetrySettings};
