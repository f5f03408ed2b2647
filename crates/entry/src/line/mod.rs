//! Calls that wait at the node for room on a target.

mod wait_line;

pub use wait_line::{LineTicket, WaitLine};
