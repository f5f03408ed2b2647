//! Events of this process, in the log and in memory.

mod event_journal;

pub use event_journal::{EventJournal, event_level};
