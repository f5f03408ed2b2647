//! Stand-in for the platform: Consul's key-value and health endpoints.

mod kv_store;
mod platform_fault;
mod platform_server;

pub use kv_store::{KvEntry, KvStore, ListedNode};
pub use platform_fault::PlatformFault;
pub use platform_server::{PlatformHandle, PlatformServer};
