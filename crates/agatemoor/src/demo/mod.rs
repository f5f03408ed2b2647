//! The demo: a complete fleet in one process, and checks of the guarantees to its callers.

mod demo_caller;
mod demo_checks;
mod demo_command;
mod demo_fleet;
mod demo_policy;
mod demo_report;

pub use demo_caller::{CallResponse, DemoCaller};
pub use demo_command::DemoCommand;
pub use demo_fleet::{DemoEngine, DemoFleet, DemoNode};
pub use demo_policy::make_policy;
