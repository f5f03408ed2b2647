//! State and limits that the HTTP servers of a node share.

mod call_limits;
mod node_core;

pub use call_limits::CallLimits;
pub use node_core::NodeCore;
