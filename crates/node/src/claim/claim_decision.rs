use std::sync::Arc;

use base::{IncarnationNumber, NodeName, WorkspaceName};
use calls::{CallFailure, KeyId, ProcessId, RequestHash, RetainedAnswer};

use super::SharedAnswer;

/// What a run is remembered under.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClaimId {
    /// A ticket of this or of an imported window.
    Ticket(ProcessId, u64),
    /// A key that the caller generated.
    Key(KeyId),
}

/// A request that arrived with an `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Value of the header: a ticket or a key that the caller generated.
    pub key: String,
    /// Digest of the request.
    pub body: RequestHash,
    /// Nodes that have passed it on.
    pub hops: u8,
}

/// What becomes of such a request.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// Run it and write the answer; `finish` must follow.
    Run(ClaimId, SharedAnswer),
    /// The first attempt is in flight; read its answer.
    Join(SharedAnswer),
    /// Send the answer of the first attempt.
    Replay(Arc<RetainedAnswer>),
    /// Pass it on to this node, and to this run of it if one is named.
    Forward(NodeName, Option<IncarnationNumber>),
    /// Answer with this error.
    Fail(CallFailure),
}
