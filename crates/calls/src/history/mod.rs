//! Records of what callers and stand-in targets observed in a test, and the checker that verifies
//! the guarantees P1 to P5 on them.

mod caller_record;
mod history_checker;
mod target_record;
mod violation;

pub use caller_record::{CallerRecord, SendNumber};
pub use history_checker::{CallHistory, HistoryChecker};
pub use target_record::TargetRecord;
pub use violation::{Violation, ViolationKind};
