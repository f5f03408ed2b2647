//! The clock of a process, and detection of pauses of the process.

mod pause_detector;
mod system_clock;

pub use pause_detector::PauseDetector;
pub use system_clock::SystemClock;
