use std::net::SocketAddr;

use base::{GenerationId, IncarnationNumber, RequestId, TargetName, TimeSpan, TokenCount};
use calls::{CrashMessage, CrashPrint};
use sched::{DispatchOutcome, LoadReport, PeerDigest, RequestPriority, TargetInfo, WorkItem};
use tokio::sync::oneshot;
use xtra::Address;

use super::sched_state::{
    AdmitCall, FinishCall, NoteSent, NoteTargetFailure, PassTime, ProgressCall, SubmitCall,
    TakeCrash, TakeDigest, TakeReport, TakeTargets, WithdrawCall,
};
use super::{ActorQueue, SchedActor};

/// Where a call goes, or why it goes nowhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallPlacement {
    /// Send it to this target.
    Dispatch {
        /// Chosen target.
        target: TargetName,
        /// Priority for the engine.
        priority: RequestPriority,
    },
    /// Answer with this error.
    Refuse {
        /// Kind of error.
        kind: base::ErrorKind,
        /// When to come back.
        retry_after: Option<TimeSpan>,
    },
    /// The retry budget is used up.
    RetryRefused,
}

/// Sends messages to the scheduling actor; clones share it.
#[derive(Clone)]
pub struct SchedHandle {
    queue: ActorQueue<SchedActor>,
}

impl SchedHandle {
    /// Creates a handle of the actor at `address`.
    pub fn new(address: Address<SchedActor>) -> Self {
        Self {
            queue: ActorQueue::new(address),
        }
    }

    /// Asks for a target and waits in the node's queue.
    pub async fn submit(&self, item: WorkItem, print: CrashPrint, retry: bool) -> CallPlacement {
        let (reply, placement) = oneshot::channel();
        let message = SubmitCall {
            item,
            print,
            retry,
            reply,
        };
        self.queue.post(message);
        placement.await.unwrap_or(CallPlacement::Refuse {
            kind: base::ErrorKind::Stopping,
            retry_after: None,
        })
    }

    /// Takes a waiting call back.
    pub fn withdraw(&self, request: RequestId) {
        self.queue.post(WithdrawCall { request });
    }

    /// Notes that a dispatched call is about to reach its target.
    pub fn note_sent(&self, request: RequestId) {
        self.queue.post(NoteSent { request });
    }

    /// Notes that a call runs as `generation` at `address`.
    pub fn admit(&self, request: RequestId, address: SocketAddr, generation: GenerationId) {
        let admitted = AdmitCall {
            request,
            address,
            generation,
        };
        self.queue.post(admitted);
    }

    /// Notes how many tokens a call has produced.
    pub fn progress(&self, request: RequestId, produced: TokenCount) {
        self.queue.post(ProgressCall { request, produced });
    }

    /// Notes the end of a call at its target.
    pub fn finish(&self, request: RequestId, state: DispatchOutcome) {
        self.queue.post(FinishCall { request, state });
    }

    /// Notes a failure by the fault of a target; `died` is the run that certainly ended.
    pub fn note_failure(&self, target: TargetName, died: Option<IncarnationNumber>) {
        self.queue.post(NoteTargetFailure { target, died });
    }

    /// Takes what a peer tells of requests that crash their targets.
    pub fn take_crash(&self, message: CrashMessage) {
        self.queue.post(TakeCrash { message });
    }

    /// Lets time pass.
    pub fn pass_time(&self) {
        self.queue.post(PassTime);
    }

    /// Replaces the known targets.
    pub fn set_targets(&self, targets: Vec<TargetInfo>) {
        self.queue.post(TakeTargets { targets });
    }

    /// Takes a load report.
    pub fn take_report(&self, report: LoadReport) {
        self.queue.post(TakeReport { report });
    }

    /// Takes a digest of a peer.
    pub fn take_digest(&self, digest: PeerDigest) {
        self.queue.post(TakeDigest { digest });
    }
}
