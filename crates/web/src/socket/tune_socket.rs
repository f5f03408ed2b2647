use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the kernel asks whether the other end is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Questions without an answer after which a connection is given up.
const KEEPALIVE_RETRIES: u32 = 3;
/// Longest time that sent bytes may stay without acknowledgement.
const UNACKED_LIMIT: Duration = Duration::from_secs(16);

/// Sends small writes at once, and finds a connection that went silent within 16 seconds.
///
/// The kernel asks only on idle connections, so that a healthy stream carries nothing more. A
/// middlebox that forgot a connection answers neither these questions nor data.
///
/// # Errors
/// If the system does not take an option.
pub fn tune_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKED_LIMIT))
}
