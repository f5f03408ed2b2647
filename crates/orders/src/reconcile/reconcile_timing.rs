use base::TimeSpan;

/// Durations and limits of the reconciliation.
///
/// ```
/// let timing = orders::ReconcileTiming::default();
/// assert!(timing.reprobe_max_age < timing.absent_after);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReconcileTiming {
    /// Time that a new owner waits after a change of owner, in which the former owner notices the
    /// change.
    pub settle_time: TimeSpan,
    /// Maximum age of the observation on which an order is based, and of an order when it is sent.
    pub reprobe_max_age: TimeSpan,
    /// Maximum age of an observation by which a target counts as serving a model when the capacity
    /// is checked.
    pub capacity_max_age: TimeSpan,
    /// Minimum time between two requests to probe a target.
    pub probe_interval: TimeSpan,
    /// Age of the last observation at which a target counts as absent.
    pub absent_after: TimeSpan,
    /// Time after which an unanswered order counts as lost.
    pub order_timeout: TimeSpan,
    /// Longest gap between two ticks; a longer one counts as a pause of the process.
    pub pause_threshold: TimeSpan,
    /// Minimum time between two permit requests, and between two rounds of hello messages.
    pub message_interval: TimeSpan,
    /// Back-off before the first delayed repetition of an order; it doubles with each repetition.
    pub backoff_initial: TimeSpan,
    /// Maximum back-off before an order is repeated.
    pub backoff_max: TimeSpan,
    /// Number of times that a load without effect is ordered before it counts as failed.
    pub repeat_limit: u32,
}

impl Default for ReconcileTiming {
    fn default() -> Self {
        Self {
            settle_time: TimeSpan::from_secs(3),
            reprobe_max_age: TimeSpan::new(1_000),
            capacity_max_age: TimeSpan::from_secs(2),
            probe_interval: TimeSpan::new(500),
            absent_after: TimeSpan::from_secs(10),
            order_timeout: TimeSpan::from_secs(5),
            pause_threshold: TimeSpan::new(1_000),
            message_interval: TimeSpan::new(500),
            backoff_initial: TimeSpan::new(500),
            backoff_max: TimeSpan::from_secs(30),
            repeat_limit: 8,
        }
    }
}
