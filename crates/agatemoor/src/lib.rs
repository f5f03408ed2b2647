//! The command line of agatemoor, and the whole system in one process for demo and tests.

mod command;
mod demo;
mod logging;
mod operator;
mod status;
mod timeline;

pub use command::MainCommand;
pub use demo::{CallAnswer, DemoCaller, DemoEngine, DemoFleet, DemoNode, make_policy};
pub use logging::{LogFormat, start_logging};
pub use operator::{NodeAnswer, NodeList, OpsClient, TextTable, plain_text};
pub use status::{FleetSummary, SilentNode, StatusRow, StatusSubject};
pub use timeline::{EventFilter, EventPage, EventTimeline, SinceTime, TimelinePage};
