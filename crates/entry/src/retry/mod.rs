//! The part of the retry budget of all nodes that one node may use.

mod retry_share;

pub use retry_share::RetryShare;
