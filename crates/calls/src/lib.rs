//! Decision logic of calls, without I/O: attempts and streams, retries, tickets, idempotency keys,
//! detection of requests that crash their targets, and a checker of recorded call histories.

mod attempt;
mod crash;
mod history;
mod key;
mod retry;
mod ticket;

pub use attempt::{
    AnswerMode, AttemptState, CallAction, CallEvent, CallFailure, CallMachine, CallPlan,
    CallPolicy, ConnectionNumber, EndVerdict, ResumePoint, StreamTracker, TokenVerdict,
};
pub use crash::{
    CrashLimits, CrashMark, CrashMessage, CrashTable, CrashVerdict, RequestFingerprint, TargetDeath,
};
pub use history::{
    CallHistory, CallerRecord, HistoryChecker, SendNumber, TargetRecord, Violation, ViolationKind,
};
pub use key::{
    ConsentStatus, ConsentTable, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyId, KeyInquiry,
    KeyPlacement, KeyPolicy, KeyRegistry, KeyVerdict, PriorUse,
};
pub use retry::{
    BackoffPolicy, BreakerPolicy, BreakerState, CircuitBreaker, ConnectionMonitor, MonitorPolicy,
    MonitorVerdict, ProbeOutcome, RetryBudget,
};
pub use ticket::{
    CallOutcome, ExportedTicket, ImportError, OwnerStatus, ProcessId, RequestHash, RetainedAnswer,
    SignedTicket, SigningKey, TicketIssuer, TicketRoute, TicketRouter, TicketVerdict, TicketWindow,
    WindowExport, WindowImports, WindowLimits, WindowPhase,
};
