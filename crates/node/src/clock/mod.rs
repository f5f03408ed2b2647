//! The clock of a process.

mod system_clock;

pub use system_clock::SystemClock;
