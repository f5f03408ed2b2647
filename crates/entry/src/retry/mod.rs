//! This node's share of the retries that all nodes may send.

mod retry_share;

pub use retry_share::RetryShare;
