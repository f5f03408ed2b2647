//! Options of TCP connections.

mod tune_socket;

pub use tune_socket::{SocketTuning, tune_socket};
