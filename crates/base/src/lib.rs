//! Types shared by every crate: names, sizes, time, error kinds, events and labels.

mod event;
mod failure;
mod label;
mod name;
mod rank;
mod size;
mod time;

pub use event::{EventKind, EventRecord, EventRing, EventScope};
pub use failure::{ErrorAnswer, ErrorKind, ParseError, RanState, RetryAdvice};
pub use label::{LabelSelector, LabelSet, SelectorTerm};
pub use name::{
    AdapterName, DomainName, GenerationId, ModelName, NodeName, RequestId, ServiceName, TargetName,
    VersionName, WorkspaceName,
};
pub use rank::{rank_owners, rank_score, top_owner};
pub use size::{
    ByteCount, ByteRate, CoreShare, IncarnationNumber, RevisionNumber, TokenCount, TokenRate,
};
pub use time::{ClockTime, HybridClock, HybridTime, TimeSpan};
