use base::TimeSpan;

/// Bounds and delays of the distribution of revisions.
///
/// ```
/// let settings = fleet::RevisionSettings::default();
/// assert_eq!(settings.fan_out, 3);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionSettings {
    /// Peers of the own domain that get a new revision in each round of pushes.
    pub fan_out: usize,
    /// Peers of other domains that get a new revision in each round of pushes.
    pub far_fan_out: usize,
    /// Rounds of pushes after a revision was accepted.
    pub push_rounds: u32,
    /// Time between two rounds of pushes.
    pub push_interval: TimeSpan,
    /// Least time between two digests sent to one peer because its digest is older.
    pub remind_interval: TimeSpan,
    /// Most bytes of text in one answer to a pull.
    pub answer_bytes: usize,
    /// Most keys asked for in one pull.
    pub pull_keys: usize,
    /// Time after which a pull counts as failed, such as at a paused peer.
    pub pull_timeout: TimeSpan,
    /// Time for which a peer is not asked again after a failed pull.
    pub peer_cooldown: TimeSpan,
    /// Longest wait of one platform watch; the platform answers by then even without a change.
    pub watch_wait: TimeSpan,
    /// Time beyond `watch_wait` after which a watch counts as silent.
    pub watch_grace: TimeSpan,
    /// Time after which a read of the platform without a wait counts as silent.
    pub read_timeout: TimeSpan,
    /// Least delay after a platform error.
    pub backoff_least: TimeSpan,
    /// Longest delay of a reader after a platform error. There are two readers in a domain, so
    /// that a short one costs the platform little.
    pub backoff_most: TimeSpan,
    /// Longest delay between two reads of keys that are missing although the head lists them.
    pub incomplete_backoff_most: TimeSpan,
    /// Longest delay between two reads by a starting node that is no reader.
    pub check_backoff_most: TimeSpan,
    /// Platform calls a second of one node in the long run.
    pub calls_per_second: u64,
    /// Platform calls of one node at once.
    pub call_burst: u64,
    /// More missing keys than this are read in one recursive call.
    pub single_reads: usize,
    /// Time that a starting or resumed node waits for both peers and platform.
    pub start_wait: TimeSpan,
    /// Time after which a starting node reads the platform itself, unless a peer vouches for it.
    pub check_delay: TimeSpan,
    /// Time without a digest after which the peers count as out of reach.
    pub peer_silence: TimeSpan,
    /// A gap between two ticks from which the process counts as having been paused.
    pub pause_limit: TimeSpan,
    /// Mechanisms, all on outside of tests.
    pub switches: MechanismSwitches,
}

impl RevisionSettings {
    /// Returns these settings with another wait of one platform watch, as `wait_ms` gives it.
    #[must_use]
    pub fn with_watch_wait(mut self, wait: TimeSpan) -> Self {
        self.watch_wait = wait;
        self
    }

    /// Time for which a platform answer vouches for a revision.
    pub fn confirm_limit(&self) -> TimeSpan {
        self.watch_wait + self.watch_grace
    }
}

impl Default for RevisionSettings {
    fn default() -> Self {
        Self {
            fan_out: 3,
            far_fan_out: 1,
            push_rounds: 3,
            push_interval: TimeSpan::new(200),
            remind_interval: TimeSpan::from_secs(1),
            answer_bytes: 256 * 1024,
            pull_keys: 256,
            pull_timeout: TimeSpan::new(500),
            peer_cooldown: TimeSpan::from_secs(2),
            watch_wait: TimeSpan::from_secs(10),
            watch_grace: TimeSpan::from_secs(2),
            read_timeout: TimeSpan::from_secs(2),
            backoff_least: TimeSpan::new(500),
            backoff_most: TimeSpan::from_secs(2),
            incomplete_backoff_most: TimeSpan::from_secs(10),
            check_backoff_most: TimeSpan::from_secs(30),
            calls_per_second: 4,
            call_burst: 16,
            single_reads: 4,
            start_wait: TimeSpan::from_secs(2),
            check_delay: TimeSpan::new(300),
            peer_silence: TimeSpan::from_secs(5),
            pause_limit: TimeSpan::from_secs(1),
            switches: MechanismSwitches::default(),
        }
    }
}

/// Mechanisms that tests turn off to show what each of them prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MechanismSwitches {
    /// Only newer revisions replace the accepted one.
    pub monotonic: bool,
    /// A set is judged only when all of its keys are there.
    pub atomic: bool,
    /// A starting or resumed node asks its peers before it is ready.
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
