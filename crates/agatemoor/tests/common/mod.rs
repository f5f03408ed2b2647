//! A fleet of separate processes on loopback addresses, for tests and the history check.

mod child_process;
mod process_fleet;

pub use child_process::ChildProcess;
#[allow(unused_imports)]
pub use process_fleet::{FleetPlan, ProcessFleet, SECOND_KEY, wait_until};
