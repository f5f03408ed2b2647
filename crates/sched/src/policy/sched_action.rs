use base::{ErrorKind, RequestId, TargetName, TimeSpan};

use super::{PeerDigest, RequestPriority};

/// How a dispatched request ended, in the distinctions that matter to a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The whole answer arrived.
    Complete,
    /// The target refused the request before running it.
    NotAdmitted,
    /// The target failed or became unreachable.
    Failed,
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

/// An action that the policy asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedAction {
    /// Send a request to a target.
    Dispatch {
        /// Request to send.
        request: RequestId,
        /// Where to send it.
        target: TargetName,
        /// Priority to give to the engine.
        priority: RequestPriority,
    },
    /// Answer a waiting request with an error at once.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Kind of error.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: TimeSpan,
    },
    /// Change the priority of a running request at its engine.
    SetPriority {
        /// Running request.
        request: RequestId,
        /// Its new priority.
        priority: RequestPriority,
    },
    /// Send the digest to the peers of the domain.
    Publish(PeerDigest),
    /// Request a load report from the target now.
    Probe(TargetName),
}
