//! How two nodes compare and complete their sets.

mod fact_pace;
mod fact_question;
mod fact_summary;
mod fact_trade;

pub use fact_pace::FactPace;
pub use fact_question::{FactAnswer, FactBucket, FactQuestion, answer_facts};
pub use fact_summary::{FactRoot, FactSummary};
pub use fact_trade::FactTrade;
