//! What nodes tell one another: loads, versions, crash marks, addresses.

mod load_news;
mod load_push;
mod node_digest;
mod peer_exchange;
mod peer_server;

pub use load_news::LoadNews;
pub use load_push::LoadPush;
pub use node_digest::{NodeDigest, PeerAnswer};
pub use peer_exchange::PeerExchange;
pub use peer_server::PeerHandler;
