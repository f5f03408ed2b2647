//! Marks on requests whose targets died while running them.

mod crash_mark;
mod crash_print;
mod crash_table;

pub use crash_mark::{CrashMark, CrashMessage, TargetDeath};
pub use crash_print::CrashPrint;
pub use crash_table::{CrashLimits, CrashTable, CrashVerdict};
