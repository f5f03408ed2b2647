//! Idempotency keys that callers generate, and the protocol that keeps two processes from running
//! the same key: a home node runs it with the consent of a witness node, and a home that may lack
//! memory of a key first asks other nodes (an inquiry).

mod consent_table;
mod former_nodes;
mod key_id;
mod key_inquiry;
mod key_placement;
mod key_registry;
mod key_table;
mod key_verdict;

pub use consent_table::{ConsentTable, ConsentVerdict};
pub use key_id::KeyId;
pub use key_inquiry::{InquiryAnswer, InquiryVerdict, KeyInquiry, PriorUse};
pub use key_placement::KeyPlacement;
pub use key_registry::{KeyPolicy, KeyRegistry};
pub use key_verdict::{ConsentStatus, KeyVerdict};
