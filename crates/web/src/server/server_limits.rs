use base::TimeSpan;

/// Bounds of a listener.
///
/// ```
/// let limits = web::ServerLimits::new().with_connections(16);
/// assert_eq!(limits.connections, 16);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections open at once; more wait in the listen queue.
    pub connections: usize,
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Longest time to read a request head.
    pub header_wait: TimeSpan,
}

impl ServerLimits {
    /// Creates limits for a listener that trusts its peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns these limits with another number of connections.
    #[must_use]
    pub fn with_connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Returns these limits with another bound for request heads.
    #[must_use]
    pub fn with_header(mut self, bytes: usize, wait: TimeSpan) -> Self {
        self.header_bytes = bytes;
        self.header_wait = wait;
        self
    }
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 16_384,
            header_bytes: 32_768,
            header_wait: TimeSpan::from_secs(30),
        }
    }
}
