//! Calls of plain services.

mod service_job;
mod service_relay;

pub use service_job::{ServiceBody, ServiceJob};
pub use service_relay::{ServiceRelay, ServiceStep};
