//! Where, when and with which priority each generation runs.

mod length;
mod memory;
mod peak;
mod policy;
mod queue;
mod target;

pub use length::{
    LENGTH_BINS, LengthCalibration, LengthCurve, LengthHistogram, LengthModel, bin_of, bin_start,
};
pub use memory::{GROWTH_STEPS, GrowthCurve, GrowthOutlook, MemoryView, ViewHistory};
pub use peak::{
    CoordinationMode, LimitClass, PeakPolicy, PeerTable, PolicySettings, PoolTable, PriorityLadder,
    StreamState, TargetChoice, TargetRating, WorkspaceLoad,
};
pub use policy::{
    CallKind, FinishState, LoadReport, PeerDigest, RoutePolicy, SchedAction, TargetDigest,
    TargetInfo, WorkItem, WorkPriority,
};
pub use queue::{DrainRate, FairShare, QueueHead, QueueLane, QueuedItem, WorkQueue};
pub use target::{PrefixTable, TargetHealth, TargetPool, TargetState, TargetTable};
