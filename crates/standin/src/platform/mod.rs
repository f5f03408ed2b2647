//! Stand-in for the platform: the key-value and health endpoints of Consul.

mod platform_fault;
mod platform_server;
mod platform_store;

pub use platform_fault::PlatformFault;
pub use platform_server::{PlatformHandle, PlatformServer};
pub use platform_store::{KvEntry, ListedVm, PlatformStore};
