//! Protocol between the nodes of a fleet: gossip of loads, published items, facts and addresses,
//! and placement requests to coordinators.

mod extended_message;
mod fact_pusher;
mod fact_sync;
mod item_update;
mod load_pusher;
mod load_report;
mod node_digest;
mod peer_client;
mod peer_handler;

pub use extended_message::{ExtendedMessage, decode_extended, encode_extended};
pub use fact_pusher::{FactOutbox, FactPusher, PushScope};
pub use item_update::{ItemUpdate, UpdateOutcome};
pub use load_pusher::LoadPusher;
pub use load_report::LoadReport;
pub use node_digest::NodeDigest;
pub use peer_client::{CALLS_PATH, PeerClient};
pub use peer_handler::PeerHandler;
