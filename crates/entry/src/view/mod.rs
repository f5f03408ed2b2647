//! What the platform publishes, as this node has read it.

mod item_mirror;
mod lapse_guard;

pub use item_mirror::{ItemChange, ItemMirror, PublishedItem};
pub use lapse_guard::LapseGuard;
