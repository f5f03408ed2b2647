//! Events of several nodes merged into one order.

mod event_page;
mod event_timeline;
mod since_time;
mod timeline_page;

pub use event_page::EventPage;
pub use event_timeline::{EventFilter, EventTimeline};
pub use since_time::SinceTime;
pub use timeline_page::TimelinePage;
