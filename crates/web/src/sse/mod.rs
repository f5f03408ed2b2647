//! Server-sent events as the WHATWG HTML standard defines them.

mod event_frame;
mod event_splitter;

pub use event_frame::EventFrame;
pub use event_splitter::EventSplitter;
