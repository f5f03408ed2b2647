//! Monotonic time and durations in milliseconds, and hybrid logical time.

mod clock_time;
mod hybrid_time;
mod time_span;

pub use clock_time::ClockTime;
pub use hybrid_time::{HybridClock, HybridTime};
pub use time_span::TimeSpan;
