//! The set of facts that one node knows.

mod fact_id;
mod fact_set;
mod shared_fact;

pub use fact_id::FactId;
pub use fact_set::FactSet;
pub use shared_fact::{FactValue, SentFact, SharedFact};
