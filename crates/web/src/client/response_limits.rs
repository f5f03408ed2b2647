use base::TimeSpan;

/// Limits of a response that is read as a whole.
///
/// ```
/// let limits = web::ResponseLimits::new(1 << 20, "2s".parse().unwrap());
/// assert_eq!(limits.head_timeout, limits.timeout);
/// let limits = limits.with_head_timeout("500ms".parse().unwrap());
/// assert_eq!(limits.head_timeout.as_millis(), 500);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseLimits {
    /// Largest body in bytes.
    pub bytes: usize,
    /// Time within which the head has to arrive, including the time to connect.
    pub head_timeout: TimeSpan,
    /// Time within which the whole response has to arrive.
    pub timeout: TimeSpan,
}

impl ResponseLimits {
    /// Creates limits whose head may take as long as the whole response.
    pub fn new(bytes: usize, timeout: TimeSpan) -> Self {
        Self {
            bytes,
            head_timeout: timeout,
            timeout,
        }
    }

    /// Returns these limits with a shorter timeout for the head, which shows sooner that a response
    /// was lost than the timeout that a large body needs.
    #[must_use]
    pub fn with_head_timeout(mut self, timeout: TimeSpan) -> Self {
        self.head_timeout = timeout;
        self
    }
}
