//! The interface between a routing policy and the node that runs it.

mod load_report;
mod peer_digest;
mod route_policy;
mod sched_action;
mod work_item;

pub use load_report::{LoadReport, TargetInfo};
pub use peer_digest::{PeerDigest, TargetDigest};
pub use route_policy::RoutePolicy;
pub use sched_action::{DispatchOutcome, SchedAction};
pub use work_item::{CallKind, RequestPriority, WorkItem};
