//! HTTP/1 client: a pool of connections that are kept open between requests.

mod connection_pool;
mod head_budget;
mod pool_settings;

pub use connection_pool::{ConnectionPool, PooledConnection, ReusePolicy};
pub use pool_settings::PoolSettings;
