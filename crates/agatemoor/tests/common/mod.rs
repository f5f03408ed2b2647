//! A fleet of separate processes on loopback addresses, for tests and for `examples/history.rs`.

mod child_process;
mod process_fleet;

pub use child_process::ChildProcess;
#[allow(unused_imports)]
pub use process_fleet::{FleetPlan, ProcessFleet, SECOND_WORKSPACE_KEY, wait_until};
