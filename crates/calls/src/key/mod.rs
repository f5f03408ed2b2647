//! Idempotency keys that callers generate: home node, witnesses and inquiry.

mod consent_log;
mod former_names;
mod key_claim;
mod key_home;
mod key_id;
mod key_inquiry;
mod key_ranking;
mod key_table;

pub use consent_log::{ConsentLog, ConsentVerdict};
pub use key_claim::{KeyArrival, KeyClaim};
pub use key_home::{KeyHome, KeyPolicy};
pub use key_id::KeyId;
pub use key_inquiry::{InquiryAnswer, InquiryVerdict, KeyInquiry, KeyTrace};
pub use key_ranking::KeyRanking;
