use base::{ClockTime, GenerationId, IncarnationNumber, RanState, TargetName};
use calls::{
    BodyHash, ConnectionNumber, CrashMessage, InquiryAnswer, KeyArrival, KeyId, OwnerId,
    RequestFingerprint, SendNumber, TicketText, WindowExport,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Address {
    Callers,
    Node(usize),
    Target(usize),
}

/// Where a caller's answer goes: back over the node that it spoke to, in one HTTP exchange.
#[derive(Clone, Debug)]
pub struct ReplyPath {
    pub exchange: u64,
    pub hops: Vec<usize>,
}

#[derive(Clone, Debug)]
pub enum CallKey {
    Neither,
    Ticket(TicketText),
    Key(KeyId),
}

#[derive(Clone, Debug)]
pub struct CallMessage {
    pub path: ReplyPath,
    pub request: u32,
    pub send: SendNumber,
    pub idempotent: bool,
    pub streamed: bool,
    pub poison: bool,
    pub key: CallKey,
    pub body: BodyHash,
    pub fingerprint: RequestFingerprint,
    pub resume: Option<(TargetName, GenerationId, u64)>,
    /// Set on a forwarded call: only this run of the node may take it.
    pub addressee: Option<OwnerId>,
    pub arrival: KeyArrival,
}

#[derive(Clone, Debug)]
pub enum ReplyBody {
    Ticket(Option<TicketText>),
    Token(TargetName, GenerationId, u64),
    End(u64),
    Fail(RanState),
    Lost,
}

/// One connection of one call of one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId {
    pub node: usize,
    pub incarnation: u64,
    pub call: u64,
    pub connection: ConnectionNumber,
}

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

#[derive(Clone, Debug)]
pub enum Message {
    NewTicket(ReplyPath),
    Call(Box<CallMessage>),
    CallerGone(u64),
    Reply(ReplyPath, ReplyBody),
    Witness(Box<CallMessage>),
    Inquiry(KeyId, OwnerId),
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

#[derive(Clone, Debug)]
pub enum Event {
    Deliver(Address, Address, Message),
    CallTimer(usize, u64, u64, ClockTime),
    WatchTimer(usize, u64, u64),
    InquiryTimeout(usize, u64, KeyId),
    ResumeNode(usize, u64),
    StartNode(usize),
    StopStep(usize, u64),
    Accept(usize, u64, GenerationId),
    Produce(usize, u64, GenerationId),
    DieTarget(usize, u64),
    StartTarget(usize),
    Heartbeat,
    Inject,
    Heal,
    NextRequest(u32),
    ExchangeTimeout(u64),
}
