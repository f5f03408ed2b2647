//! Calls that wait at the node for room on a target.

mod line_pace;
mod wait_line;

pub use line_pace::LinePace;
pub use wait_line::{LineCall, LineTicket, WaitLine};
