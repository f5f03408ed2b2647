use base::{NodeName, RevisionNumber, WorkspaceName};
use calls::{
    CallOutcome, ConsentStatus, InquiryAnswer, KeyId, ProcessId, RequestHash, WindowExport,
};

use super::{ClaimDecision, ClaimId};

/// Issues a ticket.
pub struct IssueTicket {
    pub workspace: WorkspaceName,
}

/// Claims a ticket of this or of an imported window.
pub struct ClaimTicket {
    pub owner: ProcessId,
    pub sequence: u64,
    pub body: RequestHash,
}

/// Tells whether the window of `owner` was taken over by this process.
pub struct HasImport {
    pub owner: ProcessId,
}

/// Claims a key that the caller generated.
pub struct ClaimKey {
    pub key: KeyId,
    pub body: RequestHash,
    pub consent: ConsentStatus,
}

/// Takes an answer to an inquiry, or its end.
pub struct TakeInquiry {
    pub key: KeyId,
    pub answer: Option<(NodeName, InquiryAnswer)>,
}

/// What became of a claim of a key.
pub enum KeyDecision {
    /// The claim is decided.
    Decided(ClaimDecision),
    /// A witness must be asked.
    NeedWitness(Vec<NodeName>),
    /// These nodes must be asked.
    Ask(Vec<NodeName>),
}

/// Asks this process for its consent as a witness.
pub struct GiveConsent {
    pub key: KeyId,
    pub home: ProcessId,
}

/// Asks this process for traces of a key.
pub struct GiveTraces {
    pub key: KeyId,
    pub asker: ProcessId,
}

/// Records the end of a run.
pub struct FinishClaim {
    pub id: ClaimId,
    pub outcome: CallOutcome,
}

/// Takes the declared nodes of a revision.
pub struct SetNodes {
    pub revision: RevisionNumber,
    pub names: Vec<NodeName>,
}

/// Notes that a peer acts on a revision.
pub struct PeerRevision {
    pub node: NodeName,
    pub revision: RevisionNumber,
}

/// Notes that the VM of a node is gone for good.
pub struct NodeGone {
    pub node: NodeName,
}

/// Takes a window over.
pub struct ImportWindow {
    pub export: WindowExport,
}

/// Seals all windows and tells how many runs are in flight.
pub struct SealWindows;

/// Exports all windows for a successor; the same exports are returned again.
pub struct ExportWindows {
    pub successor: ProcessId,
}
