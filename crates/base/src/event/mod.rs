//! Numbered events and a ring buffer of the latest ones.

mod event_kind;
mod event_record;
mod event_ring;

pub use event_kind::{EventKind, EventScope};
pub use event_record::EventRecord;
pub use event_ring::EventRing;
