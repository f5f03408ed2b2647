use base::{ClockTime, IncarnationNumber, TimeSpan};

/// Bounds of the detection of a silent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPolicy {
    /// Quiet time after which a fresh connection is tried.
    pub quiet: TimeSpan,
    /// Longest time between two fresh connections to a slow target.
    pub quiet_cap: TimeSpan,
    /// Time that tokens known to exist may take to arrive on the old connection.
    pub grace: TimeSpan,
    /// Fresh connections that may time out before the target counts as unreachable.
    pub timeout_limit: u32,
    /// Quiet time after which a connection without known progress is given up.
    pub silence_limit: TimeSpan,
}

impl Default for WatchPolicy {
    fn default() -> Self {
        Self {
            quiet: TimeSpan::from_secs(2),
            quiet_cap: TimeSpan::from_secs(8),
            grace: TimeSpan::new(500),
            timeout_limit: 2,
            silence_limit: TimeSpan::from_secs(60),
        }
    }
}

/// What a fresh connection to the target found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target answered.
    Answered {
        /// Its present incarnation.
        incarnation: IncarnationNumber,
        /// Tokens that the generation has produced, if the target told.
        produced: Option<u64>,
    },
    /// The connection was refused: the host is there, the process is not.
    Refused,
    /// Nothing came back.
    TimedOut,
}

/// What to do about a quiet connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchVerdict {
    /// Keep the connection.
    Wait,
    /// Try a fresh connection.
    Probe,
    /// The connection is dead while the target lives: `LinkSilent`.
    LinkSilent,
    /// The process is gone: `TargetDied`, and a crash mark.
    TargetDead,
    /// No fresh connection gets through: `TargetDied`, without a crash mark.
    TargetUnreachable,
}

/// Watches one connection on which an answer is expected; a healthy one costs no traffic.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use calls::{LinkWatch, ProbeOutcome, WatchPolicy, WatchVerdict};
/// let run = IncarnationNumber(1);
/// let mut watch = LinkWatch::new(ClockTime::ZERO, run, WatchPolicy::default());
/// assert_eq!(watch.on_tick(ClockTime::new(1_999)), WatchVerdict::Wait);
/// assert_eq!(watch.on_tick(ClockTime::new(2_000)), WatchVerdict::Probe);
/// let outcome = ProbeOutcome::Answered { incarnation: run, produced: Some(5) };
/// assert_eq!(watch.on_probe(ClockTime::new(2_010), outcome), WatchVerdict::Wait);
/// assert_eq!(watch.on_tick(ClockTime::new(2_510)), WatchVerdict::LinkSilent);
/// ```
#[derive(Clone, Debug)]
pub struct LinkWatch {
    policy: WatchPolicy,
    incarnation: IncarnationNumber,
    received: u64,
    heard_at: ClockTime,
    quiet: TimeSpan,
    next: ClockTime,
    probing: bool,
    /// The target has tokens that did not arrive.
    behind: bool,
    timeouts: u32,
}

impl LinkWatch {
    /// Creates the watch of a connection to the given run of a target.
    pub fn new(now: ClockTime, incarnation: IncarnationNumber, policy: WatchPolicy) -> Self {
        Self {
            policy,
            incarnation,
            received: 0,
            heard_at: now,
            quiet: policy.quiet,
            next: now + policy.quiet,
            probing: false,
            behind: false,
            timeouts: 0,
        }
    }

    /// Bytes arrived; `received` is the offset of the next expected token.
    pub fn on_bytes(&mut self, now: ClockTime, received: u64) {
        self.received = received;
        self.heard_at = now;
        self.quiet = self.policy.quiet;
        self.next = now + self.quiet;
        self.behind = false;
        self.timeouts = 0;
        // A fresh connection under way has nothing to decide any more.
        self.probing = false;
    }

    /// When `on_tick` has something to say at the earliest.
    pub fn next_tick(&self) -> ClockTime {
        self.next
    }

    /// Checks the time; `Probe` is returned once for each fresh connection wanted.
    pub fn on_tick(&mut self, now: ClockTime) -> WatchVerdict {
        if now < self.next || self.probing {
            return WatchVerdict::Wait;
        }
        if self.behind || now - self.heard_at >= self.policy.silence_limit {
            return WatchVerdict::LinkSilent;
        }
        self.probing = true;
        WatchVerdict::Probe
    }

    /// Takes the outcome of a fresh connection; one that is no longer wanted has no effect.
    pub fn on_probe(&mut self, now: ClockTime, outcome: ProbeOutcome) -> WatchVerdict {
        if !std::mem::take(&mut self.probing) {
            return WatchVerdict::Wait;
        }
        match outcome {
            ProbeOutcome::Refused => WatchVerdict::TargetDead,
            ProbeOutcome::TimedOut => self.on_timeout(now),
            ProbeOutcome::Answered { incarnation, .. } if incarnation != self.incarnation => {
                WatchVerdict::TargetDead
            }
            ProbeOutcome::Answered { produced, .. } => {
                self.on_answer(now, produced);
                WatchVerdict::Wait
            }
        }
    }

    fn on_timeout(&mut self, now: ClockTime) -> WatchVerdict {
        self.timeouts += 1;
        if self.timeouts >= self.policy.timeout_limit {
            return WatchVerdict::TargetUnreachable;
        }
        self.next = now;
        WatchVerdict::Wait
    }

    fn on_answer(&mut self, now: ClockTime, produced: Option<u64>) {
        self.timeouts = 0;
        self.behind = produced.is_some_and(|produced| produced > self.received);
        if self.behind {
            self.next = now + self.policy.grace;
            return;
        }
        self.quiet = (self.quiet * 2).min(self.policy.quiet_cap);
        let limit = self.heard_at + self.policy.silence_limit;
        self.next = (now + self.quiet).min(limit.max(now));
    }
}
