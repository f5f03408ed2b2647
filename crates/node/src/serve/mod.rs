//! The node process as a whole.

mod node_handle;
mod node_server;

pub use node_handle::NodeHandle;
pub use node_server::{NodeServer, PolicyMaker, StartError};
