//! Log of the calls that the stand-ins ran, for history checks.

mod run_log;

pub use run_log::{RunLog, RunRecord};
