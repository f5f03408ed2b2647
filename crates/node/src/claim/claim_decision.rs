use std::sync::Arc;

use base::{IncarnationNumber, NodeName, WorkspaceName};
use calls::{CallFailure, KeyId, ProcessId, RequestHash, RetainedAnswer};

use super::SharedAnswer;

/// Identifies a request that was claimed to run, by its ticket or key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClaimId {
    /// A ticket of this process's own window or of an imported one: its issuer and sequence number.
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
    /// Hash of the request, to detect a key that is reused for another one.
    pub request_hash: RequestHash,
    /// Number of nodes that have forwarded it.
    pub hops: u8,
}

/// What to do with a request that arrived with an `Idempotency-Key`.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// Run it and write its answer here, then report the outcome with `ClaimHandle::finish`.
    Run(ClaimId, SharedAnswer),
    /// The first attempt is in flight; send the answer that it writes.
    Join(SharedAnswer),
    /// The first attempt has ended; send its retained answer.
    Replay(Arc<RetainedAnswer>),
    /// Forward it to this node, and only to the given incarnation of it if there is one.
    Forward(NodeName, Option<IncarnationNumber>),
    /// Answer with this failure.
    Fail(CallFailure),
}
