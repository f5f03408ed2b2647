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

/// When the kernel gives up a connection whose other end is silent.
///
/// The kernel asks only on idle connections, so that a healthy stream carries nothing more. A
/// middlebox that forgot a connection answers neither these questions nor data.
///
/// ```
/// let tuning = web::SocketTuning::default();
/// assert!(tuning.idle < tuning.unacked);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketTuning {
    /// Idle time after which the kernel asks whether the other end is still there.
    pub idle: Duration,
    /// Time between two such questions.
    pub interval: Duration,
    /// Questions without an answer after which a connection is given up.
    pub retries: u32,
    /// Longest time that sent bytes may stay without acknowledgement.
    pub unacked: Duration,
}

impl Default for SocketTuning {
    fn default() -> Self {
        Self {
            idle: KEEPALIVE_IDLE,
            interval: KEEPALIVE_INTERVAL,
            retries: KEEPALIVE_RETRIES,
            unacked: UNACKED_LIMIT,
        }
    }
}

/// Sends small writes at once, and lets the kernel find a connection that went silent.
///
/// # Errors
/// If the system does not take an option.
pub fn tune_socket(stream: &TcpStream, tuning: SocketTuning) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(tuning.idle)
        .with_interval(tuning.interval)
        .with_retries(tuning.retries);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(tuning.unacked))
}
