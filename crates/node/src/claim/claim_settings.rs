use base::TimeSpan;
use calls::{KeyPolicy, WindowLimits};

/// Bounds of the memory for tickets and keys.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Bounds of the ticket window.
    pub window: WindowLimits,
    /// Bounds of the memory for caller-generated keys.
    pub keys: KeyPolicy,
    /// How long a ticket may be used.
    pub ticket_life: TimeSpan,
}

impl ClaimSettings {
    /// Creates settings that retain `answer_bytes` of answers, half for tickets, half for keys.
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
