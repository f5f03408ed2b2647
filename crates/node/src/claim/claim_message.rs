use base::{NodeName, RevisionNumber, WorkspaceName};
use calls::{
    CallOutcome, ConsentStatus, InquiryAnswer, KeyId, ProcessId, RequestHash, WindowExport,
};

use super::{ClaimDecision, ClaimId};

/// Issues a ticket; replies `None` if the window is full or sealed.
pub struct IssueTicket {
    pub workspace: WorkspaceName,
}

/// Claims a ticket of this process's own window or of an imported one.
pub struct ClaimTicket {
    pub owner: ProcessId,
    pub sequence: u64,
    pub request_hash: RequestHash,
}

/// Asks whether this process imported the ticket window of `owner`.
pub struct HasImport {
    pub owner: ProcessId,
}

/// Claims a caller-generated key, with the witness consent obtained so far.
pub struct ClaimKey {
    pub key: KeyId,
    pub request_hash: RequestHash,
    pub consent: ConsentStatus,
}

/// Records one node's response to an inquiry; no response means that no more will come.
pub struct RecordInquiry {
    pub key: KeyId,
    pub response: Option<(NodeName, InquiryAnswer)>,
}

/// Reply to `ClaimKey`: a decision, or the other nodes that must be asked before there is one.
pub enum KeyDecision {
    /// The claim is decided.
    Decided(ClaimDecision),
    /// One of these witnesses must consent first.
    NeedConsent(Vec<NodeName>),
    /// These nodes must be asked about earlier use of the key.
    NeedInquiry(Vec<NodeName>),
}

/// Asks this process, as a witness of `key`, to consent that `home` runs it.
pub struct AnswerConsent {
    pub key: KeyId,
    pub home: ProcessId,
}

/// Asks this process whether `key` was used through it.
pub struct AnswerInquiry {
    pub key: KeyId,
    pub asker: ProcessId,
}

/// Records the outcome of a request that was claimed to run.
pub struct FinishClaim {
    pub id: ClaimId,
    pub outcome: CallOutcome,
}

/// Applies the declared nodes of a revision.
pub struct SetDeclaredNodes {
    pub revision: RevisionNumber,
    pub names: Vec<NodeName>,
}

/// Records that a peer has a revision in effect.
pub struct RecordPeerRevision {
    pub node: NodeName,
    pub revision: RevisionNumber,
}

/// Records that the platform deleted the VM of a node, which therefore never acts again.
pub struct RecordNodeDeleted {
    pub node: NodeName,
}

/// Imports the ticket window of a stopping node.
pub struct ImportWindow {
    pub export: WindowExport,
}

/// Refuses to run further tickets and keys; replies with the number of tickets in flight.
pub struct SealClaims;

/// Exports all sealed ticket windows for a successor; a repeated export returns the same ones.
pub struct ExportWindows {
    pub successor: ProcessId,
}
