//! Stand-in for a plain service whose orders may not be repeated.

mod app_server;

pub use app_server::{AppHandle, AppServer};
