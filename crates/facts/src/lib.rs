//! Replicated facts: bounded sets of immutable records that pairs of nodes compare and merge.
//!
//! A fact is never changed or withdrawn. It ends when its lifetime is over, or another fact
//! overrides it. Merging two sets is therefore a union, and gives the same result when messages are
//! lost, repeated or reordered.

mod set;
mod sync;

pub use set::{FactId, FactSet, FactValue, SentFact, SharedFact};
pub use sync::{
    BucketDigest, FactBucket, FactDigest, FactLimiter, FactRequest, FactResponse, FactSync,
    answer_fact_request,
};
