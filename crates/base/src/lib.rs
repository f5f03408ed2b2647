//! Types shared by every crate: names, quantities with units, time, error kinds, events, labels and
//! rendezvous hashing.

mod error;
mod event;
mod label;
mod name;
mod rendezvous;
mod size;
mod time;

pub use error::{ErrorKind, ErrorResponse, ParseError, RanState, RetryAdvice};
pub use event::{EventKind, EventRecord, EventRing, EventScope};
pub use label::{LabelSelector, LabelSet, SelectorTerm};
pub use name::{
    AdapterName, DomainName, GenerationId, ModelName, NodeName, PartId, RequestId, ServiceName,
    TargetName, VersionName, WorkspaceName,
};
pub use rendezvous::{rank_owners, rank_score, top_owner};
pub use size::{
    ByteCount, ByteRate, CallRate, CoreShare, IncarnationNumber, RevisionNumber, TokenCount,
    TokenRate,
};
pub use time::{ClockTime, HybridClock, HybridTime, TimeSpan};
