use base::TimeSpan;

/// Limits and delays of the distribution of revisions.
///
/// ```
/// let settings = fleet::RevisionSettings::default();
/// assert_eq!(settings.local_fan_out, 3);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionSettings {
    /// Peers of the own domain to which each push round sends the digest of a new revision.
    pub local_fan_out: usize,
    /// Peers of other domains to which each push round sends the digest of a new revision.
    pub remote_fan_out: usize,
    /// Push rounds after a revision is accepted.
    pub push_rounds: u32,
    /// Time between two push rounds.
    pub push_interval: TimeSpan,
    /// Least time between two reminders to one peer, which are digests sent because it is behind.
    pub reminder_interval: TimeSpan,
    /// Most bytes of text in one answer to a pull.
    pub answer_byte_limit: usize,
    /// Most keys requested in one pull.
    pub pull_key_limit: usize,
    /// Time after which a pull without an answer counts as failed, such as at a paused peer.
    pub pull_timeout: TimeSpan,
    /// Time during which no pull is sent to a peer after one failed.
    pub peer_cooldown: TimeSpan,
    /// Longest wait of one platform watch; after it the platform answers even without a change.
    pub watch_wait: TimeSpan,
    /// Time beyond `watch_wait` after which a watch without an answer counts as failed.
    pub watch_grace: TimeSpan,
    /// Time after which a read of the platform without an answer counts as failed.
    pub read_timeout: TimeSpan,
    /// Least delay after a platform error.
    pub backoff_min: TimeSpan,
    /// Longest delay of a reader after a platform error. It can be short, since with two readers
    /// per domain the retries cost the platform little.
    pub backoff_max: TimeSpan,
    /// Longest delay between two reads of keys that the head lists but the platform does not have.
    pub incomplete_backoff_max: TimeSpan,
    /// Longest delay between two reads of `head` by a starting node that is no reader.
    pub check_backoff_max: TimeSpan,
    /// Sustained rate of the platform calls of one node, per second.
    pub calls_per_second: u64,
    /// Platform calls that one node may make in a burst.
    pub call_burst: u64,
    /// Most missing keys that are read one by one; more are read in one recursive call.
    pub single_read_limit: usize,
    /// Time for which a starting or resumed node waits to hear from both peers and platform before
    /// it serves with less.
    pub start_wait: TimeSpan,
    /// Delay, with as much jitter, after which a starting node that is no reader reads `head`
    /// itself unless a peer has passed on a platform confirmation. Also the time between requests
    /// for digests.
    pub check_delay: TimeSpan,
    /// Time without any digest after which the peers count as unreachable.
    pub peer_timeout: TimeSpan,
    /// Least gap between two ticks that counts as a pause of the process.
    pub pause_threshold: TimeSpan,
    /// Safety mechanisms; all are on except in tests.
    pub switches: MechanismSwitches,
}

impl RevisionSettings {
    /// Returns these settings with another `watch_wait`, such as the setting `wait_ms`.
    #[must_use]
    pub fn with_watch_wait(mut self, wait: TimeSpan) -> Self {
        self.watch_wait = wait;
        self
    }

    /// Returns the time for which a platform answer confirms a revision.
    pub fn confirmation_lifetime(&self) -> TimeSpan {
        self.watch_wait + self.watch_grace
    }
}

impl Default for RevisionSettings {
    fn default() -> Self {
        Self {
            local_fan_out: 3,
            remote_fan_out: 1,
            push_rounds: 3,
            push_interval: TimeSpan::new(200),
            reminder_interval: TimeSpan::from_secs(1),
            answer_byte_limit: 256 * 1024,
            pull_key_limit: 256,
            pull_timeout: TimeSpan::new(500),
            peer_cooldown: TimeSpan::from_secs(2),
            watch_wait: TimeSpan::from_secs(10),
            watch_grace: TimeSpan::from_secs(2),
            read_timeout: TimeSpan::from_secs(2),
            backoff_min: TimeSpan::new(500),
            backoff_max: TimeSpan::from_secs(2),
            incomplete_backoff_max: TimeSpan::from_secs(10),
            check_backoff_max: TimeSpan::from_secs(30),
            calls_per_second: 4,
            call_burst: 16,
            single_read_limit: 4,
            start_wait: TimeSpan::from_secs(2),
            check_delay: TimeSpan::new(300),
            peer_timeout: TimeSpan::from_secs(5),
            pause_threshold: TimeSpan::from_secs(1),
            switches: MechanismSwitches::default(),
        }
    }
}

/// Safety mechanisms that tests turn off to show which failure each of them prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSwitches {
    /// The accepted revision is replaced only by a newer one.
    pub monotonic: bool,
    /// A set is validated only once all of its keys have arrived.
    pub atomic: bool,
    /// A starting or resumed node compares its revision with its peers before it is ready.
    pub peer_bootstrap: bool,
}

impl Default for MechanismSwitches {
    fn default() -> Self {
        Self {
            monotonic: true,
            atomic: true,
            peer_bootstrap: true,
        }
    }
}
