use base::TimeSpan;
use calls::{KeyPolicy, WindowLimits};

/// Limits of the tickets and caller-generated keys that a node remembers.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Limits of the ticket window.
    pub window: WindowLimits,
    /// Limits of the registry of caller-generated keys.
    pub keys: KeyPolicy,
    /// Time from the issue of a ticket until it expires.
    pub ticket_life: TimeSpan,
}

impl ClaimSettings {
    /// Creates settings that retain at most `answer_bytes` of answers, half of them for tickets and
    /// half for caller-generated keys.
    ///
    /// ```
    /// assert_eq!(node::ClaimSettings::new(1_024).window.answer_bytes, 512);
    /// ```
    pub fn new(answer_bytes: usize) -> Self {
        let half = answer_bytes / 2;
        Self {
            window: WindowLimits {
                answer_bytes: half,
                ..WindowLimits::default()
            },
            keys: KeyPolicy {
                answer_bytes: half,
                ..KeyPolicy::default()
            },
            ticket_life: TimeSpan::from_secs(3_600),
        }
    }

    /// Returns these settings with another lifetime of caller-generated keys.
    #[must_use]
    pub fn with_key_lifetime(mut self, lifetime: TimeSpan) -> Self {
        self.keys.lifetime = lifetime;
        self
    }
}
