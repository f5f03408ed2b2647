use base::{ClockTime, GenerationId, IncarnationNumber, RanState, TargetName};
use calls::{
    ConnectionNumber, ConsentStatus, CrashMessage, InquiryAnswer, KeyId, ProcessId,
    RequestFingerprint, RequestHash, SendNumber, SignedTicket, WindowExport,
};

/// Sender or receiver of a message; nodes and targets are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    Callers,
    Node(usize),
    Target(usize),
}

/// Route of an answer back to the caller: an HTTP exchange of the caller, and the nodes that the
/// call was forwarded by, first to last.
#[derive(Clone, Debug)]
pub struct ReplyPath {
    pub exchange: u64,
    pub hops: Vec<usize>,
}

/// Idempotency key of a call.
#[derive(Clone, Debug)]
pub enum CallKey {
    Neither,
    Ticket(SignedTicket),
    Key(KeyId),
}

/// A call as callers send it and nodes forward it.
#[derive(Clone, Debug)]
pub struct CallMessage {
    pub path: ReplyPath,
    pub request: u32,
    pub send: SendNumber,
    pub idempotent: bool,
    pub streamed: bool,
    /// Whether the request crashes the targets that run it.
    pub crashes_targets: bool,
    pub key: CallKey,
    pub body: RequestHash,
    pub fingerprint: RequestFingerprint,
    pub resume: Option<(TargetName, GenerationId, u64)>,
    /// Set on a forwarded call: only this incarnation of the node may accept it.
    pub addressee: Option<ProcessId>,
    pub arrival: ConsentStatus,
}

/// Part of an answer to a caller; `Lost` stands for a broken connection.
#[derive(Clone, Debug)]
pub enum ReplyBody {
    Ticket(Option<SignedTicket>),
    Token(TargetName, GenerationId, u64),
    End(u64),
    Fail(RanState),
    Lost,
}

/// Identifies a connection to a target by the node, its incarnation, the call and the connection
/// number within the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    pub node: usize,
    pub incarnation: u64,
    pub call: u64,
    pub connection: ConnectionNumber,
}

/// What a node receives from a target over a connection.
#[derive(Clone, Debug)]
pub enum TargetReply {
    Connected(IncarnationNumber),
    Refused,
    Lost,
    NotAdmitted,
    Accepted(GenerationId),
    Token(GenerationId, u64),
    End(GenerationId, u64),
    ResumeRefused,
    Probed(IncarnationNumber, Option<u64>),
    ProbeRefused,
    ProbeTimedOut,
}

/// A message between callers, nodes and targets.
#[derive(Clone, Debug)]
pub enum Message {
    NewTicket(ReplyPath),
    Call(Box<CallMessage>),
    CallerGone(u64),
    Reply(ReplyPath, ReplyBody),
    Witness(Box<CallMessage>),
    Inquiry(KeyId, ProcessId),
    InquiryAnswer(KeyId, usize, u64, InquiryAnswer),
    Crash(CrashMessage),
    Import(Box<WindowExport>),
    Open(ConnectionId),
    Request(ConnectionId, Box<CallMessage>),
    Resume(ConnectionId, GenerationId, u64),
    Probe(ConnectionId, Option<GenerationId>),
    Cancel(GenerationId),
    FromTarget(ConnectionId, TargetReply),
}

/// An event in the queue of the simulation. The numbers are the index of a node or target, the
/// incarnation that the event is meant for and the id of a call; `NextRequest` names a caller and
/// `ExchangeTimeout` an exchange.
#[derive(Clone, Debug)]
pub enum Event {
    Deliver(Address, Address, Message),
    CallTimer(usize, u64, u64, ClockTime),
    /// A connection monitor has to be checked.
    MonitorTimer(usize, u64, u64),
    InquiryTimeout(usize, u64, KeyId),
    ResumeNode(usize, u64),
    StartNode(usize),
    /// A stopping node checks whether it can hand over its windows or end.
    CheckStop(usize, u64),
    /// A target accepts a request, which starts its generation.
    Accept(usize, u64, GenerationId),
    /// A target produces the next token of a generation.
    Produce(usize, u64, GenerationId),
    KillTarget(usize, u64),
    StartTarget(usize),
    RefreshViews,
    InjectFault,
    /// The cut between the failure domains ends.
    EndCut,
    NextRequest(u32),
    ExchangeTimeout(u64),
}
