use base::{DomainName, HybridTime, IncarnationNumber, NodeName, TargetName};
use calls::{ConsentVerdict, CrashMessage, InquiryAnswer, KeyId, ProcessId, WindowExport};
use orders::{FailureSummary, OrderMessage};
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use schema::member::MemberMessage;
use serde::{Deserialize, Serialize};

use crate::{ControlKind, EngineHealth, TargetPhase};

/// A message with its sender, receiver and time of sending.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Name of the sending node.
    pub from: NodeName,
    /// Incarnation of the sending node.
    pub incarnation: IncarnationNumber,
    /// Name of the receiving node, so that a recorded message can't be replayed to another node.
    pub to: NodeName,
    /// Hybrid logical time at which it was sent.
    pub time: HybridTime,
    /// The message.
    pub body: PeerMessage,
}

/// Message from one node to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks which node listens at an address.
    Hello,
    /// Membership protocol: gossip and probes.
    Member(Box<MemberMessage>),
    /// Which revision of the declaration the sender has.
    Digest(RevisionDigest),
    /// Requests keys of a revision of the declaration.
    Pull(PullRequest),
    /// Load and health of targets, and the sender's requests in flight there.
    Load(LoadUpdate),
    /// Report on requests that may crash their targets.
    Crash(CrashMessage),
    /// Asks a witness to consent that a process runs a caller-generated key.
    Consent(ConsentRequest),
    /// Asks about earlier use of a caller-generated key.
    Inquiry(InquiryRequest),
    /// Message about the reconciliation of targets.
    Order(Box<OrderMessage>),
    /// Rollout failures that the sender's domain knows of.
    Failures(Vec<FailureSummary>),
    /// Hands the ticket window of a stopping node over to the receiver.
    Window(Box<WindowExport>),
}

impl PeerMessage {
    /// Kind of control traffic under which metrics count the message.
    pub fn kind(&self) -> ControlKind {
        match self {
            Self::Hello | Self::Member(_) => ControlKind::Member,
            Self::Digest(_) | Self::Pull(_) => ControlKind::Revision,
            Self::Load(_) => ControlKind::Load,
            Self::Order(_) | Self::Failures(_) => ControlKind::Order,
            Self::Crash(_) | Self::Consent(_) | Self::Inquiry(_) | Self::Window(_) => {
                ControlKind::Claim
            }
        }
    }
}

/// Asks a witness to consent that a process runs a caller-generated key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConsentRequest {
    /// The key.
    pub key: KeyId,
    /// Home of the key: the process that wants to run it.
    pub home: ProcessId,
}

/// Asks whether a caller-generated key was used through the receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InquiryRequest {
    /// The key.
    pub key: KeyId,
    /// The process that wants to run it.
    pub asker: ProcessId,
}

/// Load and health of the targets that the sender watches, and its requests in flight.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Increases with every update of one incarnation of the sender.
    pub sequence: u64,
    /// The sender's requests in flight by target: target, number of requests, tokens that they hold
    /// now, tokens at their peak.
    pub in_flight: Vec<(TargetName, u32, u32, u32)>,
    /// Targets that the sender watches.
    pub targets: Vec<TargetUpdate>,
    /// Which revision of the declaration the sender has.
    pub revision: RevisionDigest,
}

/// Load and health of one target, as measured by the sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetUpdate {
    /// Name of the target.
    pub target: TargetName,
    /// Age of the measurement in milliseconds.
    pub age_ms: u32,
    /// Running sequences, waiting sequences, used pages, cached pages, total pages, tokens per page.
    pub figures: [u32; 6],
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
    /// Health; `None` if it has not changed and is not due to be repeated.
    pub health: Option<HealthUpdate>,
}

/// Health of one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HealthUpdate {
    /// Phase of the target as the sender sees it.
    pub phase: TargetPhase,
    /// Latest health that the engine reported; `None` for a service.
    pub health: Option<EngineHealth>,
}

/// Response to `Hello`: identity of the node that listens at the address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HelloResponse {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
}

/// Response to a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The message was handled, and there is nothing to return.
    Done,
    /// Response to `Hello`.
    Hello(HelloResponse),
    /// Response to `Pull`.
    Pulled(PullAnswer),
    /// Response to `Consent`.
    Consent(ConsentVerdict),
    /// Response to `Inquiry`.
    Inquiry(InquiryAnswer),
    /// Response to `Window`: whether the receiver imported it.
    Window(bool),
}
