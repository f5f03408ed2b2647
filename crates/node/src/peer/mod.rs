//! Messages between nodes: HTTP with MessagePack, authenticated with the key of the settings.

mod address_book;
mod peer_client;
mod peer_key;
mod peer_message;
mod peer_server;

pub use address_book::AddressBook;
pub use peer_client::{ForwardedCall, PeerClient, PeerFailure};
pub use peer_key::PeerKey;
pub use peer_message::{
    ConsentAsk, HealthNote, InquiryAsk, LoadNote, PeerBody, PeerEnvelope, PeerHello, PeerReply,
    TargetNote,
};
pub use peer_server::PeerServer;
