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
    /// How nodes that share engines take each other into account.
    pub mode: CoordinationMode,
    /// Share of a target's memory that predicted peaks and their reserve may take.
    ///
    /// It is above one, since the peaks of own streams, of peers and of the rest are added up
    /// although they do not coincide.
    pub memory_share: f64,
    /// Standard deviations of the predicted peak that are left free.
    pub spread_reserve: f64,
    /// Further share that only quick requests may use.
    pub quick_reserve: f64,
    /// Longest expected output of a quick request, in tokens.
    pub quick_tokens: u32,
    /// Sequences on one target above which it gets no more.
    pub sequence_limit: u32,
    /// Prompt tokens that this node may have unprocessed on one target.
    pub prefill_limit: u64,
    /// Delay in the order of a queue for each expected token of work.
    pub token_delay_ms: u64,
    /// Time past its rank after which a long request goes before quick ones.
    pub starve_after: TimeSpan,
    /// Longest wait of a quick request.
    pub quick_wait: TimeSpan,
    /// Longest wait of any other request.
    pub long_wait: TimeSpan,
    /// Wait after which a request may go to another failure domain.
    pub spill_after: TimeSpan,
    /// Share of the memory of a target in another domain up to which this node adds work.
    pub remote_limit: f64,
    /// Share of the memory of a target in another domain that own streams may use.
    pub remote_share: f64,
    /// Time in which a new or returning target gets its full share.
    pub ramp_time: TimeSpan,
    /// Own streams on an engine that has not reported yet.
    pub blind_streams: u32,
    /// Own streams on one instance of a plain service.
    pub service_streams: u32,
    /// Points taken off the rating of a target that holds the prefix, out of 1,000.
    pub prefix_points: u64,
    /// Bytes that a node may send in digests each second; with many peers or targets the interval
    /// grows so that they suffice.
    pub digest_budget: u64,
    /// Shortest interval between digests.
    pub digest_interval: TimeSpan,
    /// Age at which a digest of a peer is dropped.
    pub digest_expiry: TimeSpan,
    /// Probes sent for each request.
    pub probe_count: u32,
    /// Mean interval between probes of a node at least; a probe and its answer take some 100 bytes.
    pub probe_interval: TimeSpan,
    /// Age at which the answer to a probe is dropped.
    pub probe_age: TimeSpan,
    /// Dispatches for which an answer to a probe is used.
    pub probe_uses: u32,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            mode: CoordinationMode::default(),
            memory_share: 1.12,
            spread_reserve: 0.9,
            quick_reserve: 0.06,
            quick_tokens: 64,
            sequence_limit: 256,
            prefill_limit: 16_384,
            token_delay_ms: 10,
            starve_after: TimeSpan::from_secs(30),
            quick_wait: TimeSpan::from_secs(20),
            long_wait: TimeSpan::from_secs(90),
            spill_after: TimeSpan::from_secs(2),
            remote_limit: 0.6,
            remote_share: 0.1,
            ramp_time: TimeSpan::from_secs(10),
            blind_streams: 4,
            service_streams: 128,
            prefix_points: 60,
            digest_interval: TimeSpan::new(200),
            digest_budget: 8_000,
            digest_expiry: TimeSpan::from_secs(5),
            probe_count: 6,
            probe_interval: TimeSpan::new(16),
            probe_age: TimeSpan::from_secs(1),
            probe_uses: 3,
        }
    }
}

impl PolicySettings {
    /// Default settings with another way of coordination.
    pub fn with_mode(mode: CoordinationMode) -> Self {
        Self {
            mode,
            ..Self::default()
        }
    }
}
