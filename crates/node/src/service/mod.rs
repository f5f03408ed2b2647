//! Relays calls to plain services: runs the attempts of a call and passes the answer on.

mod service_job;
mod service_relay;

pub use service_job::{ServiceBody, ServiceJob};
pub use service_relay::{ServiceOutput, ServiceRelay};
