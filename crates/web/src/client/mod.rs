//! Connections to servers, kept open between requests.

mod connection_pool;
mod head_budget;
mod pool_settings;

pub use connection_pool::{ConnectionPool, PooledSender, SendPhase};
pub use pool_settings::PoolSettings;
