//! This node's copy of the items that the platform publishes.

mod item_mirror;
mod lease_guard;

pub use item_mirror::{ItemChange, ItemMirror, PublishedItem};
pub use lease_guard::LeaseGuard;
