//! Tickets, idempotency keys and answers that several callers share.

mod claim_actor;
mod claim_decision;
mod claim_handle;
mod shared_answer;

pub use claim_actor::{ClaimActor, ClaimSettings};
pub use claim_decision::{ClaimDecision, ClaimId, ClaimRequest};
pub use claim_handle::ClaimHandle;
pub use shared_answer::{AnswerHead, AnswerPart, SharedAnswer};
