use base::{ClockTime, TimeSpan};

/// Consecutive failures after which a target is ejected, that is, gets no requests for a while.
const EJECT_AFTER: u32 = 3;
/// Duration of the first ejection; it doubles with every further one.
const BASE_EJECTION_TIME: TimeSpan = TimeSpan::from_secs(5);
/// Largest number of times that the duration of an ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Time without new requests after a target refused one because it was full.
const FULL_BACKOFF: TimeSpan = TimeSpan::new(500);
/// Share of its memory limit that a target gets at the beginning of its slow start.
const SLOW_START_SHARE: f64 = 0.2;
/// Lower bound of the memory share of a target that preempts sequences.
const MIN_MEMORY_SHARE: f64 = 0.6;
/// Memory share regained per second without preemption.
const SHARE_RECOVERY_PER_SECOND: f64 = 0.004;

/// Tracks failures and preemptions of a target: whether it may get requests and how much of its
/// memory may be used.
///
/// ```
/// use base::ClockTime;
/// let mut health = sched::TargetHealth::default();
/// for _ in 0..3 {
///     health.on_failure(ClockTime::new(0));
/// }
/// assert!(!health.is_available(ClockTime::new(4_999)));
/// assert!(health.is_available(ClockTime::new(5_000)));
/// ```
#[derive(Clone, Debug)]
pub struct TargetHealth {
    /// Consecutive failures since the last success or ejection.
    failures: u32,
    /// Ejections since the target last recovered.
    ejections: u32,
    unavailable_until: ClockTime,
    slow_start_at: Option<ClockTime>,
    /// Memory share at `share_at`; it recovers over time.
    share: f64,
    share_at: ClockTime,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            ejections: 0,
            unavailable_until: ClockTime::ZERO,
            slow_start_at: None,
            share: 1.0,
            share_at: ClockTime::ZERO,
        }
    }
}

impl TargetHealth {
    /// Starts the slow start of a target that is new or usable again.
    pub fn begin_slow_start(&mut self, now: ClockTime) {
        self.slow_start_at = Some(now);
    }

    /// Records a failed request; ejects the target after several consecutive failures.
    pub fn on_failure(&mut self, now: ClockTime) {
        self.failures += 1;
        if self.failures < EJECT_AFTER {
            return;
        }
        let factor = 1 << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejections += 1;
        self.failures = 0;
        self.unavailable_until = now + BASE_EJECTION_TIME * factor;
        self.slow_start_at = Some(self.unavailable_until);
    }

    /// Records a complete answer.
    pub fn on_success(&mut self, now: ClockTime) {
        self.failures = 0;
        if now >= self.unavailable_until + BASE_EJECTION_TIME {
            self.ejections = 0;
        }
    }

    /// Records that the target refused a request before running it.
    pub fn on_full(&mut self, now: ClockTime) {
        self.unavailable_until = self.unavailable_until.max(now + FULL_BACKOFF);
    }

    /// Records preemptions at the target and lowers its memory share, since they show that the
    /// memory limit is too high.
    pub fn on_preemptions(&mut self, now: ClockTime) {
        self.share = (self.current_share(now) * 0.95).max(MIN_MEMORY_SHARE);
        self.share_at = now;
    }

    /// Whether the target may get requests now.
    pub fn is_available(&self, now: ClockTime) -> bool {
        now >= self.unavailable_until
    }

    /// Share of the target's memory limit that may be used; rises over `slow_start` for a target
    /// in its slow start.
    pub fn limit_share(&self, now: ClockTime, slow_start: TimeSpan) -> f64 {
        let share = self.current_share(now);
        let Some(since) = self.slow_start_at else {
            return share;
        };
        let part = now.since(since).as_millis() as f64 / slow_start.as_millis().max(1) as f64;
        share * (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * part).min(1.0)
    }

    fn current_share(&self, now: ClockTime) -> f64 {
        let span = now.since(self.share_at).as_millis() as f64 / 1_000.0;
        (self.share + SHARE_RECOVERY_PER_SECOND * span).min(1.0)
    }
}
