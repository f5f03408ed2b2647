use base::TimeSpan;

use crate::SocketOptions;

/// Timeouts, limits and socket options of a connection pool.
///
/// ```
/// let settings = web::PoolSettings::new().with_connect_timeout("500ms".parse().unwrap());
/// assert_eq!(settings.connect_timeout.as_millis(), 500);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Longest time to open a connection.
    pub connect_timeout: TimeSpan,
    /// Longest time that an idle connection is kept for reuse.
    ///
    /// Short, since a middlebox may drop an idle connection without telling either end.
    pub idle_timeout: TimeSpan,
    /// Largest number of idle connections kept for one server.
    pub idle_limit: usize,
    /// TCP options, which decide when an unresponsive connection is closed.
    pub socket_options: SocketOptions,
}

impl PoolSettings {
    /// Creates the default settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns these settings with another timeout for opening a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: TimeSpan) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Returns these settings with other TCP options.
    #[must_use]
    pub fn with_socket_options(mut self, socket_options: SocketOptions) -> Self {
        self.socket_options = socket_options;
        self
    }
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_timeout: TimeSpan::from_secs(1),
            idle_timeout: TimeSpan::from_secs(5),
            idle_limit: 64,
            socket_options: SocketOptions::default(),
        }
    }
}
