//! Start and stop of a node process.

mod node_handle;
mod node_server;

pub use node_handle::NodeHandle;
pub use node_server::{NodeServer, PolicyFactory, StartError};
