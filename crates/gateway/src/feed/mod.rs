//! Reading of published items.

mod view_feed;

pub use view_feed::ViewFeed;
