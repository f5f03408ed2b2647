use std::net::SocketAddr;

use base::{GenerationId, IncarnationNumber, RequestId, TargetName, TimeSpan, TokenCount};
use calls::{CrashMessage, RequestFingerprint};
use sched::{DispatchOutcome, LoadReport, PeerDigest, RequestPriority, TargetInfo, WorkItem};
use tokio::sync::oneshot;
use xtra::Address;

use super::sched_state::{
    CancelCall, FinishCall, MarkAdmitted, MarkSent, ReceiveCrash, ReceiveDigest, ReportFailure,
    ReportLoad, ReportProgress, SetTargets, SubmitCall, TickSched,
};
use super::{ActorQueue, SchedActor};

/// Outcome of scheduling a call: the target to send it to, or why it is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallPlacement {
    /// Send the call to this target.
    Dispatch {
        /// Chosen target.
        target: TargetName,
        /// Priority that the engine is told.
        priority: RequestPriority,
    },
    /// Refuse the call with this error.
    Refuse {
        /// Kind of error.
        kind: base::ErrorKind,
        /// When the caller may try again.
        retry_after: Option<TimeSpan>,
    },
    /// Do not retry: the retry budget is used up.
    RetryRefused,
}

/// Handle that sends messages to the [`SchedActor`]; clones refer to the same actor.
#[derive(Clone)]
pub struct SchedHandle {
    queue: ActorQueue<SchedActor>,
}

impl SchedHandle {
    /// Creates a handle to the actor at `address`.
    pub fn new(address: Address<SchedActor>) -> Self {
        Self {
            queue: ActorQueue::new(address),
        }
    }

    /// Queues a call and waits until it is given a target or refused. `retry` tells whether an
    /// earlier attempt of the same call failed.
    pub async fn submit(
        &self,
        item: WorkItem,
        fingerprint: RequestFingerprint,
        retry: bool,
    ) -> CallPlacement {
        let (reply, placement) = oneshot::channel();
        let message = SubmitCall {
            item,
            fingerprint,
            retry,
            reply,
        };
        self.queue.post(message);
        placement.await.unwrap_or(CallPlacement::Refuse {
            kind: base::ErrorKind::Stopping,
            retry_after: None,
        })
    }

    /// Cancels a call, whether it waits for a target or already has one.
    pub fn cancel(&self, request: RequestId) {
        self.queue.post(CancelCall { request });
    }

    /// Marks a dispatched call as being sent to its target.
    pub fn mark_sent(&self, request: RequestId) {
        self.queue.post(MarkSent { request });
    }

    /// Marks a call as admitted by its target: it runs as `generation` at `address`.
    pub fn mark_admitted(&self, request: RequestId, address: SocketAddr, generation: GenerationId) {
        let admitted = MarkAdmitted {
            request,
            address,
            generation,
        };
        self.queue.post(admitted);
    }

    /// Reports how many tokens a call has produced so far.
    pub fn report_progress(&self, request: RequestId, produced: TokenCount) {
        self.queue.post(ReportProgress { request, produced });
    }

    /// Reports that a call has ended at its target.
    pub fn finish(&self, request: RequestId, outcome: DispatchOutcome) {
        self.queue.post(FinishCall { request, outcome });
    }

    /// Reports a failure for which a target is to blame; `died` is the incarnation of the target
    /// that has ended, if that is certain.
    pub fn report_failure(&self, target: TargetName, died: Option<IncarnationNumber>) {
        self.queue.post(ReportFailure { target, died });
    }

    /// Passes on what a peer knows about requests that may crash their targets.
    pub fn receive_crash(&self, message: CrashMessage) {
        self.queue.post(ReceiveCrash { message });
    }

    /// Runs the periodic work of the policy and of the crash table.
    pub fn tick(&self) {
        self.queue.post(TickSched);
    }

    /// Replaces the list of known targets.
    pub fn set_targets(&self, targets: Vec<TargetInfo>) {
        self.queue.post(SetTargets { targets });
    }

    /// Passes on a load report of a target.
    pub fn report_load(&self, report: LoadReport) {
        self.queue.post(ReportLoad { report });
    }

    /// Passes on a peer's digest of its work in flight.
    pub fn receive_digest(&self, digest: PeerDigest) {
        self.queue.post(ReceiveDigest { digest });
    }
}
