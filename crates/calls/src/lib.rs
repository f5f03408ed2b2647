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
    ConsentLog, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyArrival, KeyClaim, KeyHome,
    KeyId, KeyInquiry, KeyPolicy, KeyRanking, KeyTrace,
};
pub use retry::{
    BackoffPolicy, BreakerPolicy, BreakerState, CircuitBreaker, LinkWatch, ProbeOutcome,
    RetryBudget, WatchPolicy, WatchVerdict,
};
pub use ticket::{
    BodyHash, CallOutcome, ExportedEntry, ImportError, OwnerId, OwnerReach, RetainedAnswer,
    TicketClaim, TicketIssuer, TicketKey, TicketRoute, TicketRouting, TicketText, TicketWindow,
    WindowExport, WindowImports, WindowLimits, WindowPhase,
};
