//! Protocol by which two nodes compare and merge their sets of facts.

mod bucket_digest;
mod fact_limiter;
mod fact_request;
mod fact_sync;

pub use bucket_digest::{BucketDigest, FactDigest};
pub use fact_limiter::FactLimiter;
pub use fact_request::{FactBucket, FactRequest, FactResponse, answer_fact_request};
pub use fact_sync::FactSync;
