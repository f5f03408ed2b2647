//! The command line of agatemoor, and a fleet in one process for the demo and for tests.

mod command;
mod demo;
mod logging;
mod operator;
mod status;
mod timeline;

pub use command::{MainCommand, run_single_threaded};
pub use demo::{CallResponse, DemoCaller, DemoEngine, DemoFleet, DemoNode, make_policy};
pub use logging::{LogFormat, start_logging};
pub use operator::{
    NodeAddresses, NodeResponse, OperatorClient, TextTable, replace_control_characters,
};
pub use status::{FleetSummary, StatusRow, StatusSubject, UnreachableNode};
pub use timeline::{EventFilter, EventPage, EventTimeline, SinceTime, TimelinePage};
