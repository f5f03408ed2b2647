use base::{ClockTime, IncarnationNumber, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

use super::RefusalLimit;

/// Time for which a limit holds that no answer repeats.
const LIMIT_LIFETIME: TimeSpan = TimeSpan::from_secs(10);
/// Part of the slots that each refusal withholds from further calls.
const REFUSAL_PART: u32 = 8;
/// Part of its slots that a new run beside limited ones may use at first.
const START_PART: u32 = 4;
/// Time after which one withheld slot is used again.
const RECOVERY_INTERVAL: TimeSpan = TimeSpan::new(500);

/// What a node knows of the refusal limit of one run of a target, as it tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalReport {
    /// The target.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
    /// The limit; `None` if the run states none any more.
    pub limit: Option<RefusalLimit>,
    /// Time since the run stated that.
    pub age: TimeSpan,
    /// Slots that are withheld now.
    pub withheld: u32,
}

/// Refusal limit of one run of a target, and how many of its slots are withheld so that it refuses no calls.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{RefusalLimit, RefusalState};
/// let at = ClockTime::new;
/// let mut refusals = RefusalState::default();
/// refusals.record_refusal(at(10), 16);
/// assert_eq!(refusals.room(at(10), 16), 16);
/// refusals.observe(at(20), Some(RefusalLimit(3)));
/// refusals.record_refusal(at(30), 16);
/// assert_eq!(refusals.room(at(30), 16), 14);
/// assert_eq!(refusals.room(at(1_030), 16), 16);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalState {
    limit: Option<RefusalLimit>,
    observed_at: ClockTime,
    /// When the run last stated a limit.
    stated_at: Option<ClockTime>,
    withheld: u32,
    withheld_at: ClockTime,
    last_refusal: Option<ClockTime>,
}

impl RefusalState {
    /// Creates the state of a run that has just started beside others with this limit. It may be cold, so it
    /// gets a part of its slots at first.
    pub fn new(now: ClockTime, limit: RefusalLimit, slots: u32) -> Self {
        Self {
            limit: Some(limit),
            observed_at: now,
            stated_at: Some(now),
            withheld: slots - slots.div_ceil(START_PART),
            withheld_at: now,
            last_refusal: None,
        }
    }

    /// Applies what an answer to a call that was sent at `sent_at` states; returns whether the limit changed.
    /// An earlier statement than the known one is ignored.
    pub fn observe(&mut self, sent_at: ClockTime, limit: Option<RefusalLimit>) -> bool {
        if sent_at < self.observed_at {
            return false;
        }
        self.observed_at = sent_at;
        if limit.is_some() {
            self.stated_at = Some(sent_at);
        }
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// The limit that holds now.
    pub fn limit_at(&self, now: ClockTime) -> Option<RefusalLimit> {
        self.limit
            .filter(|_| now.since(self.observed_at) < LIMIT_LIFETIME)
    }

    /// Records that the target refused a call for lack of room.
    pub fn record_refusal(&mut self, now: ClockTime, slots: u32) {
        if self.limit_at(now).is_none() {
            return;
        }
        let withheld = self.withheld_left(now) + slots.div_ceil(REFUSAL_PART);
        self.withhold(now, withheld.min(slots.saturating_sub(1)));
        self.last_refusal = Some(now);
    }

    /// Whether the target refused a call within `span`.
    pub fn has_refused_within(&self, now: ClockTime, span: TimeSpan) -> bool {
        self.last_refusal.is_some_and(|at| now.since(at) < span)
    }

    /// Slots that calls may use now.
    pub fn room(&self, now: ClockTime, slots: u32) -> u32 {
        match self.limit_at(now) {
            Some(_) => slots.saturating_sub(self.withheld_left(now)).max(1),
            None => slots,
        }
    }

    /// What peers have to know; `None` if the run stated no limit lately.
    pub fn report(
        &self,
        now: ClockTime,
        (target, incarnation): (TargetName, IncarnationNumber),
    ) -> Option<RefusalReport> {
        let is_known = self
            .stated_at
            .is_some_and(|at| now.since(at) < LIMIT_LIFETIME);
        is_known.then(|| RefusalReport {
            target,
            incarnation,
            limit: self.limit,
            age: now.since(self.observed_at),
            withheld: self.withheld_left(now),
        })
    }

    /// Adopts what a peer knows; returns whether the limit changed.
    pub fn adopt(&mut self, now: ClockTime, report: &RefusalReport) -> bool {
        let changed = self.observe(now.saturating_sub(report.age), report.limit);
        if report.withheld > self.withheld_left(now) {
            self.withhold(now, report.withheld);
        }
        changed
    }

    fn withhold(&mut self, now: ClockTime, slots: u32) {
        self.withheld = slots;
        self.withheld_at = now;
    }

    fn withheld_left(&self, now: ClockTime) -> u32 {
        let since = now.since(self.withheld_at).as_millis();
        let recovered = since / RECOVERY_INTERVAL.as_millis();
        self.withheld
            .saturating_sub(u32::try_from(recovered).unwrap_or(u32::MAX))
    }
}
