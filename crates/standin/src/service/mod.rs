//! Stand-in for a plain service, some of whose calls must not be repeated.

mod service_server;

pub use service_server::{ServiceHandle, ServiceServer};
