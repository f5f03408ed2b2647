use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEPALIVE_RETRIES: u32 = 3;
const USER_TIMEOUT: Duration = Duration::from_secs(16);

/// TCP options that decide when the kernel closes a connection whose other end does not respond.
///
/// Keepalive probes are sent on idle connections only and so add no traffic to an active stream. A
/// middlebox that dropped a connection without notice acknowledges neither probes nor data.
///
/// ```
/// let options = web::SocketOptions::default();
/// assert!(options.keepalive_idle < options.user_timeout);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketOptions {
    /// Idle time before the first keepalive probe.
    pub keepalive_idle: Duration,
    /// Time between two keepalive probes.
    pub keepalive_interval: Duration,
    /// Number of unacknowledged probes after which the connection is closed.
    pub keepalive_retries: u32,
    /// Longest time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl Default for SocketOptions {
    fn default() -> Self {
        Self {
            keepalive_idle: KEEPALIVE_IDLE,
            keepalive_interval: KEEPALIVE_INTERVAL,
            keepalive_retries: KEEPALIVE_RETRIES,
            user_timeout: USER_TIMEOUT,
        }
    }
}

/// Sets `TCP_NODELAY`, so that small writes are sent at once, and the given options.
///
/// # Errors
/// If the operating system refuses an option.
pub fn set_socket_options(stream: &TcpStream, options: SocketOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(options.keepalive_idle)
        .with_interval(options.keepalive_interval)
        .with_retries(options.keepalive_retries);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(options.user_timeout))
}
