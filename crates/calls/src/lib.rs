//! Attempts, retries, tickets, idempotency keys, crash marks and the history checker.

mod attempt;
mod crash;
mod history;
mod key;
mod retry;
mod ticket;

pub use attempt::{
    AnswerMode, AttemptState, CallAction, CallEvent, CallFailure, CallMachine, CallPlan,
    CallPolicy, EndVerdict, LinkNumber, ResumePoint, StreamTracker, TokenVerdict,
};
pub use crash::{
    CrashLimits, CrashMark, CrashMessage, CrashPrint, CrashTable, CrashVerdict, TargetDeath,
};
pub use history::{
    CallHistory, CallerRecord, HistoryChecker, SendNumber, TargetRecord, Violation, ViolationKind,
};
pub use key::{
    ConsentStatus, ConsentTable, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyId, KeyInquiry,
    KeyPlacement, KeyPolicy, KeyRegistry, KeyVerdict, PriorUse,
};
pub use retry::{
    BackoffPolicy, BreakerPolicy, BreakerState, CircuitBreaker, LinkWatch, ProbeOutcome,
    RetryBudget, WatchPolicy, WatchVerdict,
};
pub use ticket::{
    CallOutcome, ExportedTicket, ImportError, OwnerStatus, ProcessId, RequestHash, RetainedAnswer,
    SignedTicket, SigningKey, TicketIssuer, TicketRoute, TicketRouter, TicketVerdict, TicketWindow,
    WindowExport, WindowImports, WindowLimits, WindowPhase,
};
