//! HTTP/1 client: a pool of connections that are kept open between requests.

mod connection_pool;
mod head_budget;
mod pool_settings;
mod response_check;
mod response_limits;

pub use connection_pool::{ConnectionPool, PooledConnection, ReusePolicy};
pub use pool_settings::PoolSettings;
pub use response_limits::ResponseLimits;
