//! Tickets, idempotency keys and answers that several callers share.

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
