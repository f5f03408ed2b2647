//! Idempotency: decides whether a request with an `Idempotency-Key` runs, waits for its first
//! attempt or gets the retained answer of that attempt.
//!
//! The key is either a ticket that a node issued or a text that the caller generated.

mod claim_actor;
mod claim_decision;
mod claim_handle;
mod claim_handlers;
mod claim_message;
mod claim_settings;
mod shared_answer;

pub use claim_actor::ClaimActor;
pub use claim_decision::{ClaimDecision, ClaimId, ClaimRequest};
pub use claim_handle::ClaimHandle;
pub use claim_settings::ClaimSettings;
pub use shared_answer::{AnswerHead, AnswerPart, SharedAnswer};
