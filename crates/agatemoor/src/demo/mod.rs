//! The whole system in one process.

mod demo_caller;
mod demo_command;
mod demo_fleet;
mod demo_policy;
mod demo_report;
mod demo_steps;

pub use demo_caller::{CallAnswer, DemoCaller};
pub use demo_command::DemoCommand;
pub use demo_fleet::{DemoEngine, DemoFleet, DemoNode};
pub use demo_policy::make_policy;
