use base::TimeSpan;

/// Bounds of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head.
    pub header_wait: TimeSpan,
    /// Longest time that a connection stays open without a request.
    pub idle_wait: TimeSpan,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_wait: TimeSpan::from_secs(3),
            idle_wait: TimeSpan::from_secs(15),
        }
    }
}
