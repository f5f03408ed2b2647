use base::TimeSpan;

/// Limits of the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time in which a request head has to arrive.
    pub header_timeout: TimeSpan,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: TimeSpan,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}
