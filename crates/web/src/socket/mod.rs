//! TCP socket options.

mod socket_options;

pub use socket_options::{SocketOptions, set_socket_options};
