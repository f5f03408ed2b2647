use std::net::SocketAddr;

use base::{GenerationId, IncarnationNumber, RequestId, TargetName, TokenCount};
use calls::{CrashMessage, RequestFingerprint};
use sched::{DispatchOutcome, LoadReport, PeerDigest, TargetInfo, WorkItem};
use tokio::sync::oneshot;

use crate::actor::CallPlacement;

/// Queues a call until it is given a target or refused; `reply` gets the placement.
pub struct SubmitCall {
    pub item: WorkItem,
    pub fingerprint: RequestFingerprint,
    pub retry: bool,
    pub reply: oneshot::Sender<CallPlacement>,
}

/// Cancels a call, whether it waits for a target or already has one.
pub struct CancelCall {
    pub request: RequestId,
}

/// Marks a dispatched call as being sent to its target.
pub struct MarkSent {
    pub request: RequestId,
}

/// Marks a call as admitted by its target and tells where it runs.
pub struct MarkAdmitted {
    pub request: RequestId,
    pub address: SocketAddr,
    pub generation: GenerationId,
}

/// Reports the tokens that a call has produced so far.
pub struct ReportProgress {
    pub request: RequestId,
    pub produced: TokenCount,
}

/// Reports that a call has ended at its target.
pub struct FinishCall {
    pub request: RequestId,
    pub outcome: DispatchOutcome,
}

/// Reports a failure for which a target is to blame; `died` is the incarnation of the target that
/// has ended, if that is certain.
pub struct ReportFailure {
    pub target: TargetName,
    pub died: Option<IncarnationNumber>,
}

/// Passes on what a peer knows about requests that may crash their targets.
pub struct ReceiveCrash {
    pub message: CrashMessage,
}

/// Replaces the list of known targets.
pub struct SetTargets {
    pub targets: Vec<TargetInfo>,
}

/// Passes on a load report of a target.
pub struct ReportLoad {
    pub report: LoadReport,
}

/// Passes on a peer's digest of its work in flight.
pub struct ReceiveDigest {
    pub digest: PeerDigest,
}

/// Runs the periodic work of the policy and of the crash table.
pub struct TickSched;
