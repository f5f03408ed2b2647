//! Protocol between nodes: MessagePack over HTTP, authenticated with a MAC whose key is derived from
//! the secret in the settings.

mod address_book;
mod peer_client;
mod peer_handler;
mod peer_key;
mod peer_message;

pub use address_book::AddressBook;
pub use peer_client::{ForwardedCall, PeerClient, PeerError};
pub use peer_handler::PeerHandler;
pub use peer_key::PeerKey;
pub use peer_message::{
    ConsentRequest, HealthUpdate, HelloResponse, InquiryRequest, LoadUpdate, PeerEnvelope,
    PeerMessage, PeerResponse, TargetUpdate,
};
