use base::TimeSpan;

/// Limits of a [`WebServer`](crate::WebServer) on its connections and request heads.
///
/// ```
/// let limits = web::ServerLimits::new().with_connections(16);
/// assert_eq!(limits.connections, 16);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest number of open connections; further ones wait in the listen backlog.
    pub connections: usize,
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Time within which a request head has to arrive.
    pub header_timeout: TimeSpan,
}

impl ServerLimits {
    /// Creates the default limits, which suit a listener with trusted clients.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns these limits with another largest number of connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Returns these limits with another size limit and timeout for request heads.
    #[must_use]
    pub fn with_header_limits(mut self, bytes: usize, timeout: TimeSpan) -> Self {
        self.header_bytes = bytes;
        self.header_timeout = timeout;
        self
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 16_384,
            header_bytes: 32_768,
            header_timeout: TimeSpan::from_secs(30),
        }
    }
}
