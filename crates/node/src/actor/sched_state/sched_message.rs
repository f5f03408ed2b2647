use std::net::SocketAddr;

use base::{GenerationId, IncarnationNumber, RequestId, TargetName, TokenCount};
use calls::{CrashMessage, CrashPrint};
use sched::{DispatchOutcome, LoadReport, PeerDigest, TargetInfo, WorkItem};
use tokio::sync::oneshot;

use crate::actor::CallPlacement;

/// Asks for a target.
pub struct SubmitCall {
    pub item: WorkItem,
    pub print: CrashPrint,
    pub retry: bool,
    pub reply: oneshot::Sender<CallPlacement>,
}

/// Takes a waiting call back.
pub struct WithdrawCall {
    pub request: RequestId,
}

/// Notes that a call is about to reach its target.
pub struct NoteSent {
    pub request: RequestId,
}

/// Notes where a call runs.
pub struct AdmitCall {
    pub request: RequestId,
    pub address: SocketAddr,
    pub generation: GenerationId,
}

/// Notes the tokens produced so far.
pub struct ProgressCall {
    pub request: RequestId,
    pub produced: TokenCount,
}

/// Notes the end of a call at its target.
pub struct FinishCall {
    pub request: RequestId,
    pub state: DispatchOutcome,
}

/// Notes a failure by the fault of a target.
pub struct NoteTargetFailure {
    pub target: TargetName,
    pub died: Option<IncarnationNumber>,
}

/// Takes what a peer tells of marked requests.
pub struct TakeCrash {
    pub message: CrashMessage,
}

/// Replaces the known targets.
pub struct TakeTargets {
    pub targets: Vec<TargetInfo>,
}

/// Takes a load report.
pub struct TakeReport {
    pub report: LoadReport,
}

/// Takes a digest of a peer.
pub struct TakeDigest {
    pub digest: PeerDigest,
}

/// Lets time pass.
pub struct PassTime;
