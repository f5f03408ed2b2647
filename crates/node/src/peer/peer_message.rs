use base::{DomainName, HybridTime, IncarnationNumber, NodeName, TargetName};
use calls::{ConsentVerdict, CrashMessage, InquiryAnswer, KeyId, ProcessId, WindowExport};
use orders::{FailureSummary, OrderMessage};
use schema::fleet::{PullAnswer, PullRequest, RevisionDigest};
use schema::member::MemberMessage;
use serde::{Deserialize, Serialize};

use crate::{ControlKind, EngineHealth, TargetPhase};

/// A message with its sender and time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Sender.
    pub from: NodeName,
    /// Run of the sender.
    pub incarnation: IncarnationNumber,
    /// Receiver, so that a message can't be replayed to another node.
    pub to: NodeName,
    /// Hybrid logical time of sending.
    pub time: HybridTime,
    /// The message.
    pub body: PeerBody,
}

/// What nodes tell or ask one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerBody {
    /// Who is there?
    Hello,
    /// Membership.
    Member(Box<MemberMessage>),
    /// Revision that the sender has.
    Digest(RevisionDigest),
    /// Asks for keys of a revision.
    Pull(PullRequest),
    /// Load and health of targets, and the sender's work in flight there.
    Load(LoadNote),
    /// Requests that may crash their targets.
    Crash(CrashMessage),
    /// Asks a witness whether a process may run a key.
    Consent(ConsentAsk),
    /// Asks about earlier use of a key.
    Inquiry(InquiryAsk),
    /// Reconciliation of targets.
    Order(Box<OrderMessage>),
    /// Failures of rollouts that another domain knows of.
    Failures(Vec<FailureSummary>),
    /// Hands a ticket window over.
    Window(Box<WindowExport>),
}

impl PeerBody {
    /// What the message is for, as metrics count it.
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

/// Asks a witness for its consent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConsentAsk {
    /// The key.
    pub key: KeyId,
    /// The process that wants to run it.
    pub home: ProcessId,
}

/// Asks for traces of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InquiryAsk {
    /// The key.
    pub key: KeyId,
    /// The process that wants to run it.
    pub asker: ProcessId,
}

/// Load and health of some targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadNote {
    /// Rises with every note of one run of a node.
    pub sequence: u64,
    /// What the sender has in flight: target, requests, tokens held now and at their peak.
    pub in_flight: Vec<(TargetName, u32, u32, u32)>,
    /// Targets that the sender watches.
    pub targets: Vec<TargetNote>,
    /// What the sender knows of revisions.
    pub revision: RevisionDigest,
}

/// Load and health of one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TargetNote {
    /// Target that was read.
    pub target: TargetName,
    /// Age of the figures in milliseconds.
    pub age_ms: u32,
    /// Running and waiting sequences; used, cached and all pages; tokens of a page.
    pub figures: [u32; 6],
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Health, if it changed or is due to be repeated.
    pub health: Option<HealthNote>,
}

/// Health of one target.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HealthNote {
    /// Phase as the sender sees it.
    pub phase: TargetPhase,
    /// Latest health of an engine.
    pub health: Option<EngineHealth>,
}

/// Who answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerHello {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Run of the node.
    pub incarnation: IncarnationNumber,
}

/// Answer to a message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Nothing to say.
    Done,
    /// Answer to `Hello`.
    Hello(PeerHello),
    /// Answer to `Pull`.
    Pulled(PullAnswer),
    /// Answer to `Consent`.
    Consent(ConsentVerdict),
    /// Answer to `Inquiry`.
    Inquiry(InquiryAnswer),
    /// Answer to `Window`: whether it was taken over.
    Window(bool),
}
