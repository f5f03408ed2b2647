use base::TimeSpan;

use super::CoordinationMode;

/// Parameters of `PeakPolicy`.
///
/// ```
/// let settings = sched::PolicySettings::default();
/// assert!(settings.quick_reserve < 0.5);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// How the load from other nodes is taken into account.
    pub mode: CoordinationMode,
    /// Share of a target's memory that the predicted peak and its reserve may use.
    ///
    /// It is above one because the peaks of own streams, peers and unattributed sequences are
    /// added although they do not coincide.
    pub memory_share: f64,
    /// Reserve above the predicted peak, in standard deviations.
    pub deviation_reserve: f64,
    /// Part of `memory_share` that only quick requests may use.
    pub quick_reserve: f64,
    /// Longest expected output of a quick request, in tokens.
    pub quick_tokens: u32,
    /// Number of sequences on one target at which it gets no more.
    pub sequence_limit: u32,
    /// Prompt tokens that own streams may have unprocessed on one target.
    pub prefill_limit: u64,
    /// Milliseconds added to the rank of a waiting request for each token of its cost.
    pub token_delay_ms: u64,
    /// Time after its rank at which a long request counts as starved and goes before quick ones.
    pub starve_after: TimeSpan,
    /// Longest time that a quick request may wait.
    pub quick_max_wait: TimeSpan,
    /// Longest time that any other request may wait.
    pub long_max_wait: TimeSpan,
    /// Waiting time after which a request may be dispatched to another failure domain.
    pub spill_after: TimeSpan,
    /// Share of the memory limit of a target in another domain up to which this node dispatches to it.
    pub remote_load_limit: f64,
    /// Share of the memory of a target in another domain that own streams may use.
    pub remote_own_share: f64,
    /// Duration of the slow start in which a new or returning target reaches its full memory limit.
    pub slow_start_time: TimeSpan,
    /// Largest number of own streams on an engine that has not reported its load yet.
    pub unreported_stream_limit: u32,
    /// Largest number of own streams on one instance of a plain service.
    pub service_stream_limit: u32,
    /// Reduction of the score of a target that holds the prefix; a full target has a score of 1,000.
    pub prefix_bonus: u64,
    /// Bytes per second that a node may send in digests; with many peers or targets the interval
    /// between digests is extended to stay within it.
    pub digest_budget: u64,
    /// Shortest interval between digests.
    pub digest_interval: TimeSpan,
    /// Age at which a digest of a peer is removed.
    pub digest_max_age: TimeSpan,
    /// Probes sent for each request.
    pub probe_count: u32,
    /// Minimum mean interval between probes of a node; a probe and its answer take about 100 bytes.
    pub probe_interval: TimeSpan,
    /// Age up to which the answer to a probe is used.
    pub probe_max_age: TimeSpan,
    /// Number of dispatches for which the answer to a probe is used.
    pub probe_use_limit: u32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            mode: CoordinationMode::default(),
            memory_share: 1.12,
            deviation_reserve: 0.9,
            quick_reserve: 0.06,
            quick_tokens: 64,
            sequence_limit: 256,
            prefill_limit: 16_384,
            token_delay_ms: 10,
            starve_after: TimeSpan::from_secs(30),
            quick_max_wait: TimeSpan::from_secs(20),
            long_max_wait: TimeSpan::from_secs(90),
            spill_after: TimeSpan::from_secs(2),
            remote_load_limit: 0.6,
            remote_own_share: 0.1,
            slow_start_time: TimeSpan::from_secs(10),
            unreported_stream_limit: 4,
            service_stream_limit: 128,
            prefix_bonus: 60,
            digest_interval: TimeSpan::new(200),
            digest_budget: 8_000,
            digest_max_age: TimeSpan::from_secs(5),
            probe_count: 6,
            probe_interval: TimeSpan::new(16),
            probe_max_age: TimeSpan::from_secs(1),
            probe_use_limit: 3,
        }
    }
}

impl PolicySettings {
    /// Default settings with the given coordination mode.
    pub fn with_mode(mode: CoordinationMode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }
}
