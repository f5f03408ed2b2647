//! Where, when and with which priority each generation runs.

mod policy;

pub use policy::{
    CallKind, FinishState, LoadReport, PeerDigest, RoutePolicy, SchedAction, TargetDigest,
    TargetInfo, WorkItem, WorkPriority,
};
