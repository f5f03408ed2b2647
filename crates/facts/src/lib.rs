//! Facts that all nodes have to agree on: bounded sets that pairs of nodes compare and complete.
//!
//! A fact only ever becomes known; what ends it is another fact, or its lifetime. The union of two
//! sets is therefore what both nodes know, whatever was lost, repeated or reordered on the way.

mod set;
mod sync;

pub use set::{FactId, FactSet, SharedFact, ToldFact};
pub use sync::{
    FactAnswer, FactBucket, FactPace, FactQuestion, FactRoot, FactSummary, FactTrade, answer_facts,
};
