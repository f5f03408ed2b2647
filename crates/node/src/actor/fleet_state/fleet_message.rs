use std::net::SocketAddr;

use base::{ClockTime, DomainName, IncarnationNumber, NodeName, TargetName};
use calls::ProcessId;
use fleet::{KeyText, PlatformHeadAnswer};
use member::{MemberMessage, PlatformEntry};
use orders::{FailureSummary, OrderMessage, OrderOutcome, TargetOrder};
use sched::TargetDigest;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};

use super::ProbeResult;
use crate::{ListedTarget, LoadNote, PlatformFailure};

/// Lets time pass.
pub struct TickFleet;

/// Takes a membership message.
pub struct TakeMember {
    pub from: NodeName,
    pub incarnation: IncarnationNumber,
    pub message: MemberMessage,
}

/// Takes the revision of a peer.
pub struct TakeRevision {
    pub from: NodeName,
    pub digest: RevisionDigest,
}

/// Asks for keys of a revision.
pub struct AnswerPull {
    pub request: PullRequest,
}

/// Takes load and health that a peer read.
pub struct TakeNote {
    pub from: NodeName,
    pub note: LoadNote,
}

/// Takes the work in flight of this node, to be told to the peers.
pub struct ShareFlight {
    pub targets: Vec<TargetDigest>,
}

/// Announces a planned stop.
pub struct LeaveFleet;

/// Asks for the state of the fleet.
pub struct ReadFleet;

/// Asks for a probe of a target now.
pub struct ProbeTarget {
    pub target: TargetName,
}

/// Asks where a node is.
pub struct FindNode {
    pub node: NodeName,
}

/// Asks for live nodes of other domains, for calls that the own domain can't serve.
pub struct FindFarNodes;

/// Tells the domain that this process took a window over.
pub struct TellImport {
    pub owner: ProcessId,
}

/// Asks which process took the window of `owner` over.
pub struct FindSuccessor {
    pub owner: ProcessId,
}

/// Result of work that this actor started.
pub struct PullAnswered {
    pub pull: u64,
    pub answer: Option<PullAnswer>,
}

/// Result of work that this actor started.
pub struct HeadRead {
    pub call: u64,
    pub answer: Result<PlatformHeadAnswer, PlatformFailure>,
}

/// Result of work that this actor started.
pub struct KeysRead {
    pub call: u64,
    pub answer: Result<Vec<KeyText>, PlatformFailure>,
}

/// Result of work that this actor started.
pub struct NodesRead {
    pub answer: Result<(u64, Vec<PlatformEntry>), PlatformFailure>,
}

/// Result of work that this actor started.
pub struct SeedAnswered {
    pub address: SocketAddr,
    pub node: NodeName,
    pub domain: DomainName,
}

/// Result of work that this actor started.
pub struct TargetProbed {
    pub target: TargetName,
    pub started: ClockTime,
    pub result: ProbeResult,
}

/// Takes a message of another order board.
pub struct TakeOrder {
    pub from: NodeName,
    pub message: OrderMessage,
}

/// Takes failures of rollouts that another domain knows of.
pub struct TakeFailures {
    pub summaries: Vec<FailureSummary>,
}

/// Result of an order that this actor gave.
pub struct OrderAnswered {
    pub order: TargetOrder,
    pub outcome: OrderOutcome,
}

/// Result of a read of the platform's list of target VMs.
pub struct TargetsRead {
    pub answer: Result<(u64, Vec<ListedTarget>), PlatformFailure>,
}
