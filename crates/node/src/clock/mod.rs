//! The clock of a process.

mod pause_watch;
mod system_clock;

pub use pause_watch::PauseWatch;
pub use system_clock::SystemClock;
