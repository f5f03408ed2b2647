//! Records of callers and stand-in targets, and the check of the guarantees against them.

mod caller_record;
mod history_checker;
mod target_record;
mod violation;

pub use caller_record::{CallerRecord, SendNumber};
pub use history_checker::{CallHistory, HistoryChecker};
pub use target_record::TargetRecord;
pub use violation::{Violation, ViolationKind};
