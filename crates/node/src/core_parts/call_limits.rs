use base::TimeSpan;
use schema::settings::CallerSection;

/// Limits on requests of callers, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Longest wait for the next part of a request body.
    pub read_timeout: TimeSpan,
    /// Time until the deadline of a request that does not set one.
    pub default_deadline: TimeSpan,
}

impl CallLimits {
    /// Reads the limits from the settings.
    pub fn new(section: &CallerSection) -> Self {
        Self {
            body_bytes: usize::try_from(section.body_limit).unwrap_or(usize::MAX),
            header_bytes: usize::try_from(section.header_limit).unwrap_or(usize::MAX),
            read_timeout: TimeSpan::new(u64::try_from(section.read_timeout_ms).unwrap_or(0)),
            default_deadline: TimeSpan::new(
                u64::try_from(section.default_deadline_ms).unwrap_or(0),
            ),
        }
    }
}
