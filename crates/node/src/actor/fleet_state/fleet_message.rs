use std::net::SocketAddr;

use base::{ClockTime, DomainName, IncarnationNumber, NodeName, TargetName};
use calls::ProcessId;
use fleet::{KeyText, PlatformHeadAnswer};
use member::{MemberMessage, PlatformEntry};
use orders::{FailureSummary, OrderMessage, OrderOutcome, TargetOrder};
use sched::TargetDigest;
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};

use super::ProbeResult;
use crate::{ListedTarget, LoadUpdate, PlatformError};

/// Runs the periodic work of the actor.
pub struct TickFleet;

/// Passes on a membership message that a peer sent.
pub struct ReceiveMembership {
    pub from: NodeName,
    pub incarnation: IncarnationNumber,
    pub message: MemberMessage,
}

/// Passes on which revision of the declaration a peer has.
pub struct ReceiveRevision {
    pub from: NodeName,
    pub digest: RevisionDigest,
}

/// Answers the request of a peer for keys of a revision.
pub struct AnswerPull {
    pub request: PullRequest,
}

/// Passes on the load and health of targets that a peer measured.
pub struct ReceiveLoadUpdate {
    pub from: NodeName,
    pub update: LoadUpdate,
}

/// Sets the work in flight of this node, which the next load update reports to the peers.
pub struct SetInFlight {
    pub targets: Vec<TargetDigest>,
}

/// Announces the planned stop of this node to the peers.
pub struct AnnounceLeave;

/// Returns the state of the fleet as this node knows it.
pub struct ReadStatus;

/// Requests a probe of a target now, unless one is already running.
pub struct ProbeTarget {
    pub target: TargetName,
}

/// Returns what this node knows about another node.
pub struct FindNode {
    pub node: NodeName,
}

/// Returns the live nodes of other reachable domains, for calls that this node's domain can't
/// serve.
pub struct FindOtherDomainNodes;

/// Tells the domain that this process imported the ticket window of `owner`.
pub struct AnnounceImport {
    pub owner: ProcessId,
}

/// Returns the process that imported the ticket window of `owner`, or a node that may know it.
pub struct FindSuccessor {
    pub owner: ProcessId,
}

/// Result of pull `pull`, which asked a peer for keys of a revision; `None` if it failed.
pub struct PullCompleted {
    pub pull: u64,
    pub response: Option<PullAnswer>,
}

/// Result of platform call `call`, which read the declaration's head.
pub struct HeadFetched {
    pub call: u64,
    pub response: Result<PlatformHeadAnswer, PlatformError>,
}

/// Result of platform call `call`, which read the declaration's keys.
pub struct KeysFetched {
    pub call: u64,
    pub response: Result<Vec<KeyText>, PlatformError>,
}

/// Result of reading the platform's list of node VMs, with the platform index of the list.
pub struct NodeListFetched {
    pub response: Result<(u64, Vec<PlatformEntry>), PlatformError>,
}

/// A node answered at a seed address and reported its name and domain.
pub struct SeedContacted {
    pub address: SocketAddr,
    pub node: NodeName,
    pub domain: DomainName,
}

/// Result of a probe that began at `started`.
pub struct TargetProbed {
    pub target: TargetName,
    pub started: ClockTime,
    pub result: ProbeResult,
}

/// Passes on a message from the reconciler of a peer.
pub struct ReceiveOrder {
    pub from: NodeName,
    pub message: OrderMessage,
}

/// Passes on rollout failures that a node of another failure domain reported.
pub struct ReceiveFailures {
    pub summaries: Vec<FailureSummary>,
}

/// Result of an order that was sent to a target.
pub struct OrderCompleted {
    pub order: TargetOrder,
    pub outcome: OrderOutcome,
}

/// Result of reading the platform's list of target VMs, with the platform index of the list.
pub struct TargetListFetched {
    pub response: Result<(u64, Vec<ListedTarget>), PlatformError>,
}
