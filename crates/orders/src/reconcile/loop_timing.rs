use base::TimeSpan;

/// Times and limits of the reconciliation.
///
/// ```
/// let timing = orders::LoopTiming::default();
/// assert!(timing.reread_age < timing.absent_after);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoopTiming {
    /// Time after a change of owner in which the former owner notices it.
    pub settle: TimeSpan,
    /// Oldest observation on which an order may be based.
    pub reread_age: TimeSpan,
    /// Oldest observation by which a target counts as serving when capacity is taken away.
    pub capacity_age: TimeSpan,
    /// Time between two requests for a probe.
    pub probe_gap: TimeSpan,
    /// Age of the last observation at which a target counts as absent.
    pub absent_after: TimeSpan,
    /// Time after which an order without an answer counts as lost.
    pub order_timeout: TimeSpan,
    /// Gap between two ticks that counts as a pause of the process.
    pub pause_gap: TimeSpan,
    /// Time between two messages to a peer about slots or failures.
    pub message_gap: TimeSpan,
    /// First wait before an order is repeated; it doubles with each repetition.
    pub backoff_first: TimeSpan,
    /// Longest wait before an order is repeated.
    pub backoff_last: TimeSpan,
    /// Repetitions of an order after which the load counts as failed.
    pub repeat_limit: u32,
}

impl Default for LoopTiming {
    fn default() -> Self {
        Self {
            settle: TimeSpan::from_secs(3),
            reread_age: TimeSpan::new(1_000),
            capacity_age: TimeSpan::from_secs(2),
            probe_gap: TimeSpan::new(500),
            absent_after: TimeSpan::from_secs(10),
            order_timeout: TimeSpan::from_secs(5),
            pause_gap: TimeSpan::new(1_000),
            message_gap: TimeSpan::new(500),
            backoff_first: TimeSpan::new(500),
            backoff_last: TimeSpan::from_secs(30),
            repeat_limit: 8,
        }
    }
}
