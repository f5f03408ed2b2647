//! Parsing of server-sent events as defined by the WHATWG HTML standard.

mod event_frame;
mod event_splitter;

pub use event_frame::EventFrame;
pub use event_splitter::EventSplitter;
