use base::{ErrorKind, RequestId, TargetName, TimeSpan};

use super::{PeerDigest, WorkPriority};

/// How a dispatched request ended, as far as the policy learns from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishState {
    /// The whole answer arrived.
    Complete,
    /// The target refused it before it ran.
    NotAdmitted,
    /// The target failed or was lost.
    Failed,
    /// The caller went away or the deadline passed.
    Cancelled,
}

/// What the policy wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedAction {
    /// Send a request to a target.
    Dispatch {
        /// Request to send.
        request: RequestId,
        /// Where to send it.
        target: TargetName,
        /// Priority to give to the engine.
        priority: WorkPriority,
    },
    /// Answer a waiting request with an error at once.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Kind of error.
        kind: ErrorKind,
        /// When the caller may come back.
        retry_after: TimeSpan,
    },
    /// Change the priority of a running request at its engine.
    SetPriority {
        /// Running request.
        request: RequestId,
        /// Its new priority.
        priority: WorkPriority,
    },
    /// Send the digest to the peers of the domain.
    Publish(PeerDigest),
    /// Ask the target for its load now.
    Probe(TargetName),
}
