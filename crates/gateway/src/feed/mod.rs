//! Reading of published items.

mod engine_watch;
mod view_feed;

pub use engine_watch::EngineWatch;
pub use view_feed::ViewFeed;
