use base::{ClockTime, IncarnationNumber, TimeSpan};

/// Time limits for the detection of a silent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MonitorPolicy {
    /// Time without data after which the target is probed over a fresh connection.
    pub probe_after: TimeSpan,
    /// Longest time between two probes of a target that answers them but sends no tokens.
    pub max_probe_interval: TimeSpan,
    /// Time that tokens the target has produced may take to arrive on the monitored connection.
    pub arrival_grace: TimeSpan,
    /// Number of consecutive probe timeouts after which the target counts as unreachable.
    pub max_probe_timeouts: u32,
    /// Time without data after which a connection without known progress is given up.
    pub max_silence: TimeSpan,
}

impl Default for MonitorPolicy {
    fn default() -> Self {
        Self {
            probe_after: TimeSpan::from_secs(2),
            max_probe_interval: TimeSpan::from_secs(8),
            arrival_grace: TimeSpan::new(500),
            max_probe_timeouts: 2,
            max_silence: TimeSpan::from_secs(60),
        }
    }
}

/// Outcome of probing the target over a fresh connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target answered.
    Answered {
        /// Current incarnation of the target.
        incarnation: IncarnationNumber,
        /// Number of tokens of the generation that the target has produced, if it reported that.
        produced: Option<u64>,
    },
    /// The connection was refused: the host is up, but the process is not.
    Refused,
    /// The target did not answer in time.
    TimedOut,
}

/// What to do about a connection without data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MonitorVerdict {
    /// Keep the connection and wait.
    Wait,
    /// Probe the target over a fresh connection.
    Probe,
    /// The connection is dead although the target is alive: report `CallEvent::ConnectionSilent`.
    ConnectionSilent,
    /// The target process is gone: report `CallEvent::TargetDied` and mark the requests it ran.
    TargetDead,
    /// No probe gets through: report `CallEvent::TargetDied`, but mark no requests.
    TargetUnreachable,
}

/// Detects whether a connection on which an answer is expected has gone silent.
///
/// The target is probed only after a time without data, so a healthy connection costs no extra
/// traffic.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{ConnectionMonitor, MonitorPolicy, MonitorVerdict, ProbeOutcome};
/// let run = IncarnationNumber(1);
/// let mut monitor = ConnectionMonitor::new(ClockTime::ZERO, run, MonitorPolicy::default());
/// assert_eq!(monitor.on_tick(ClockTime::new(1_999)), MonitorVerdict::Wait);
/// assert_eq!(monitor.on_tick(ClockTime::new(2_000)), MonitorVerdict::Probe);
/// let outcome = ProbeOutcome::Answered { incarnation: run, produced: Some(5) };
/// assert_eq!(monitor.on_probe(ClockTime::new(2_010), outcome), MonitorVerdict::Wait);
/// assert_eq!(monitor.on_tick(ClockTime::new(2_510)), MonitorVerdict::ConnectionSilent);
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionMonitor {
    policy: MonitorPolicy,
    incarnation: IncarnationNumber,
    next_offset: u64,
    last_received_at: ClockTime,
    probe_interval: TimeSpan,
    next_check: ClockTime,
    probe_pending: bool,
    /// The target has produced tokens that have not arrived.
    tokens_missing: bool,
    probe_timeouts: u32,
}

impl ConnectionMonitor {
    /// Creates the monitor of a connection to the given incarnation of a target.
    pub fn new(now: ClockTime, incarnation: IncarnationNumber, policy: MonitorPolicy) -> Self {
        Self {
            policy,
            incarnation,
            next_offset: 0,
            last_received_at: now,
            probe_interval: policy.probe_after,
            next_check: now + policy.probe_after,
            probe_pending: false,
            tokens_missing: false,
            probe_timeouts: 0,
        }
    }

    /// Records that data arrived; `next_offset` is the offset of the next expected token.
    pub fn on_bytes(&mut self, now: ClockTime, next_offset: u64) {
        self.next_offset = next_offset;
        self.last_received_at = now;
        self.probe_interval = self.policy.probe_after;
        self.next_check = now + self.probe_interval;
        self.tokens_missing = false;
        self.probe_timeouts = 0;
        // The outcome of a pending probe is no longer needed.
        self.probe_pending = false;
    }

    /// Earliest time at which `on_tick` may return something other than `Wait`.
    pub fn next_check_at(&self) -> ClockTime {
        self.next_check
    }

    /// Checks for silence; returns `Probe` once for each probe to be made.
    pub fn on_tick(&mut self, now: ClockTime) -> MonitorVerdict {
        if now < self.next_check || self.probe_pending {
            return MonitorVerdict::Wait;
        }
        if self.tokens_missing || now - self.last_received_at >= self.policy.max_silence {
            return MonitorVerdict::ConnectionSilent;
        }
        self.probe_pending = true;
        MonitorVerdict::Probe
    }

    /// Handles the outcome of a probe; has no effect if data has arrived since it was started.
    pub fn on_probe(&mut self, now: ClockTime, outcome: ProbeOutcome) -> MonitorVerdict {
        if !std::mem::take(&mut self.probe_pending) {
            return MonitorVerdict::Wait;
        }
        match outcome {
            ProbeOutcome::Refused => MonitorVerdict::TargetDead,
            ProbeOutcome::TimedOut => self.on_probe_timeout(now),
            ProbeOutcome::Answered { incarnation, .. } if incarnation != self.incarnation => {
                MonitorVerdict::TargetDead
            }
            ProbeOutcome::Answered { produced, .. } => {
                self.on_probe_answer(now, produced);
                MonitorVerdict::Wait
            }
        }
    }

    fn on_probe_timeout(&mut self, now: ClockTime) -> MonitorVerdict {
        self.probe_timeouts += 1;
        if self.probe_timeouts >= self.policy.max_probe_timeouts {
            return MonitorVerdict::TargetUnreachable;
        }
        self.next_check = now;
        MonitorVerdict::Wait
    }

    fn on_probe_answer(&mut self, now: ClockTime, produced: Option<u64>) {
        self.probe_timeouts = 0;
        self.tokens_missing = produced.is_some_and(|produced| produced > self.next_offset);
        if self.tokens_missing {
            self.next_check = now + self.policy.arrival_grace;
            return;
        }
        self.probe_interval = (self.probe_interval * 2).min(self.policy.max_probe_interval);
        let limit = self.last_received_at + self.policy.max_silence;
        self.next_check = (now + self.probe_interval).min(limit.max(now));
    }
}
