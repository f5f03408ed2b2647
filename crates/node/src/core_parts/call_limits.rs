use base::TimeSpan;
use schema::settings::CallerSection;

/// Bounds of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Longest wait for the next part of a body.
    pub read_wait: TimeSpan,
    /// Time to the deadline of a request that names none.
    pub deadline: TimeSpan,
}

impl CallLimits {
    /// Creates the limits of the settings.
    pub fn new(section: &CallerSection) -> Self {
        Self {
            body_bytes: usize::try_from(section.body_limit).unwrap_or(usize::MAX),
            header_bytes: usize::try_from(section.header_limit).unwrap_or(usize::MAX),
            read_wait: TimeSpan::new(u64::try_from(section.read_timeout_ms).unwrap_or(0)),
            deadline: TimeSpan::new(u64::try_from(section.default_deadline_ms).unwrap_or(0)),
        }
    }
}
