//! Request scheduling: decides on which target, when and with which priority each request runs.
//!
//! `RoutePolicy` is the interface of a scheduler and `PeakPolicy` the implementation that nodes use.
//! It queues requests at the node and dispatches one when a target is predicted to have memory for
//! it. The crate does no I/O and reads no clock.

mod length;
mod memory;
mod peak;
mod policy;
mod queue;
mod target;

pub use length::{
    LENGTH_BINS, LengthCalibration, LengthDistribution, LengthHistogram, LengthPredictor,
    bin_index, bin_start,
};
pub use memory::{GROWTH_STEPS, GrowthCurve, GrowthEstimate, MemoryView, ViewHistory};
pub use peak::{
    CoordinationMode, LimitClass, PeakPolicy, PeerTable, PolicySettings, PoolTable, PriorityLevels,
    StreamState, TargetScorer, TargetSelector, WorkspaceLoad,
};
pub use policy::{
    CallKind, DispatchOutcome, LoadReport, PeerDigest, RequestPriority, RoutePolicy, SchedAction,
    TargetDigest, TargetInfo, WorkItem,
};
pub use queue::{DrainRate, FairShare, QueueLane, QueuePosition, QueuedItem, WorkQueue};
pub use target::{CandidatePool, PrefixTable, TargetHealth, TargetState, TargetTable};
