//! Event journal of the process, kept in memory and written to the log.

mod event_journal;

pub use event_journal::{EventJournal, event_level};
