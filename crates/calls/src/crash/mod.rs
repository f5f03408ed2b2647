//! Detects requests that crash the targets they run on, and shares these findings between nodes.

mod crash_mark;
mod crash_table;
mod request_fingerprint;

pub use crash_mark::{CrashMark, CrashMessage, TargetDeath};
pub use crash_table::{CrashLimits, CrashTable, CrashVerdict};
pub use request_fingerprint::RequestFingerprint;
