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
    ConsentLog, ConsentVerdict, InquiryAnswer, InquiryVerdict, KeyArrival, KeyClaim, KeyHome,
    KeyId, KeyInquiry, KeyPolicy, KeyRanking, KeyTrace,
};
pub use retry::{
    BackoffPolicy, BreakerPolicy, BreakerState, CircuitBreaker, ConnectionMonitor, MonitorPolicy,
    MonitorVerdict, ProbeOutcome, RetryBudget,
};
pub use ticket::{
    BodyHash, CallOutcome, ExportedEntry, ImportError, OwnerId, OwnerReach, RetainedAnswer,
    TicketClaim, TicketIssuer, TicketKey, TicketRoute, TicketRouting, TicketText, TicketWindow,
    WindowExport, WindowImports, WindowLimits, WindowPhase,
};
