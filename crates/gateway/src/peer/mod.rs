//! What nodes tell one another: loads, versions, crash marks, addresses.

mod node_digest;
mod peer_exchange;
mod peer_server;

pub use node_digest::{NodeDigest, PeerAnswer};
pub use peer_exchange::PeerExchange;
pub use peer_server::PeerHandler;
