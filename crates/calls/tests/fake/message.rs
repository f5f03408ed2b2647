use base::{ClockTime, GenerationId, IncarnationNumber, RanState, TargetName};
use calls::{
    ConsentStatus, CrashMessage, CrashPrint, InquiryAnswer, KeyId, LinkNumber, ProcessId,
    RequestHash, SendNumber, SignedTicket, WindowExport,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Addr {
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
    Ticket(SignedTicket),
    Key(KeyId),
}

#[derive(Clone, Debug)]
pub struct CallMsg {
    pub path: ReplyPath,
    pub request: u32,
    pub send: SendNumber,
    pub idempotent: bool,
    pub streamed: bool,
    pub poison: bool,
    pub key: CallKey,
    pub body: RequestHash,
    pub print: CrashPrint,
    pub resume: Option<(TargetName, GenerationId, u64)>,
    /// Set on a forwarded call: only this run of the node may take it.
    pub addressee: Option<ProcessId>,
    pub arrival: ConsentStatus,
}

#[derive(Clone, Debug)]
pub enum ReplyBody {
    Ticket(Option<SignedTicket>),
    Token(TargetName, GenerationId, u64),
    End(u64),
    Fail(RanState),
    Lost,
}

/// One connection of one call of one run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRef {
    pub node: usize,
    pub incarnation: u64,
    pub call: u64,
    pub link: LinkNumber,
}

#[derive(Clone, Debug)]
pub enum TargetSays {
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
pub enum Msg {
    NewTicket(ReplyPath),
    Call(Box<CallMsg>),
    CallerGone(u64),
    Reply(ReplyPath, ReplyBody),
    Witness(Box<CallMsg>),
    Inquiry(KeyId, ProcessId),
    Inquired(KeyId, usize, u64, InquiryAnswer),
    Crash(CrashMessage),
    Import(Box<WindowExport>),
    Open(LinkRef),
    Request(LinkRef, Box<CallMsg>),
    Resume(LinkRef, GenerationId, u64),
    Probe(LinkRef, Option<GenerationId>),
    Cancel(GenerationId),
    Said(LinkRef, TargetSays),
}

#[derive(Clone, Debug)]
pub enum Event {
    Deliver(Addr, Addr, Msg),
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
