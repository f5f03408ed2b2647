//! What nodes tell one another: loads, versions, facts, addresses.

mod fact_exchange;
mod item_news;
mod load_news;
mod load_push;
mod node_digest;
mod peer_exchange;
mod peer_server;

pub use item_news::{ItemNews, NewsEnd};
pub use load_news::LoadNews;
pub use load_push::LoadPush;
pub use node_digest::NodeDigest;
pub use peer_exchange::PeerExchange;
pub use peer_server::PeerHandler;
