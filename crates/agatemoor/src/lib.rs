//! The command line of agatemoor, and the whole system in one process for demo and tests.

mod command;
mod demo;
mod logging;

pub use command::MainCommand;
pub use demo::{CallAnswer, DemoCaller, DemoEngine, DemoFleet, DemoNode, make_policy};
pub use logging::{LogFormat, start_logging};
