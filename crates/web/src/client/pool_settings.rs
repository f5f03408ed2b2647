use base::TimeSpan;

use crate::SocketTuning;

/// Bounds of a connection pool.
///
/// ```
/// let settings = web::PoolSettings::new().with_connect_wait("500ms".parse().unwrap());
/// assert_eq!(settings.connect_wait.as_millis(), 500);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Longest time to open a connection.
    pub connect_wait: TimeSpan,
    /// Longest time that a connection stays open without a request.
    ///
    /// Short, as a middlebox may forget an idle connection without telling either end.
    pub idle_wait: TimeSpan,
    /// Idle connections kept for one server.
    pub idle_limit: usize,
    /// When a silent connection is given up.
    pub tuning: SocketTuning,
}

impl PoolSettings {
    /// Creates the settings that nodes use.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns these settings with another bound for connecting.
    #[must_use]
    pub fn with_connect_wait(mut self, wait: TimeSpan) -> Self {
        self.connect_wait = wait;
        self
    }

    /// Returns these settings with another bound for silence.
    #[must_use]
    pub fn with_tuning(mut self, tuning: SocketTuning) -> Self {
        self.tuning = tuning;
        self
    }
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            connect_wait: TimeSpan::from_secs(1),
            idle_wait: TimeSpan::from_secs(5),
            idle_limit: 64,
            tuning: SocketTuning::default(),
        }
    }
}
