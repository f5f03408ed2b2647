use base::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

use super::{EventRate, PlacementRate, QueueLane};

/// Window of the placement rate. At six placements a second, the rate is then within a fifth of the
/// true one most of the time.
const PLACEMENT_WINDOW: TimeSpan = TimeSpan::from_secs(2);
/// Window of the arrival rate: about the time that a late call can wait, over which the arrivals
/// compete with it.
const ARRIVAL_WINDOW: TimeSpan = TimeSpan::from_secs(8);
/// Time for which placements have to be seen before there is an estimate.
const LEARNING_TIME: TimeSpan = TimeSpan::from_secs(1);
/// Age of the last placement from which an estimate counts as outdated.
const STALE_AGE: TimeSpan = TimeSpan::from_secs(2);
/// Time without a waiting call after which the placement rate is measured anew. A call that waits
/// is absent for a few milliseconds each time its node repeats the request.
const IDLE_TIME: TimeSpan = TimeSpan::new(300);
/// Estimate for a call that is not placed as long as calls arrive as they do.
const LONGEST_WAIT: TimeSpan = TimeSpan::from_secs(600);
/// Smallest part of the placement rate that is assumed to become free for callers that return, as
/// demand above capacity does not last.
const FREE_SHARE: f64 = 0.125;

/// Expected wait of a call in the queue, and what it follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitEstimate {
    /// Number of calls that go before it.
    pub ahead: u32,
    /// Rate at which these are placed, less the calls that arrive and go before it.
    pub rate: PlacementRate,
    /// Time until the call is placed.
    pub wait: TimeSpan,
}

/// Number of calls that go before a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallsAhead {
    /// Those in its lane.
    pub in_lane: u32,
    /// Those in its lane and in the lanes that are served before it.
    pub total: u32,
}

/// Learns the rate at which the waiting calls of one service are placed, and estimates from it how
/// long calls wait.
///
/// The rate of placements equals the capacity only while calls wait, so it is measured anew each
/// time calls begin to wait. Quick calls that can be on time get all that becomes free, and long
/// ones what quick calls leave; they wait for the calls of their own kind ahead. A late call also
/// waits for the calls that arrive after it and can be on time; what is left for it is the rate of
/// all placements less that of all arrivals, plus the standard error of that difference, so that a
/// call waits in doubt.
///
/// Load: six placements a second on average and 50 at most, and as many arrivals.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::{CallsAhead, QueueLane, WaitEstimator};
/// let mut estimator = WaitEstimator::default();
/// estimator.begin_wait(ClockTime::new(0));
/// let ahead = CallsAhead { in_lane: 10, total: 10 };
/// for at in 1..=20 {
///     let now = ClockTime::new(at * 100);
///     assert!(at > 10 || estimator.estimate(now, QueueLane::Long, ahead).is_none());
///     estimator.record_placement(now, QueueLane::Long);
/// }
/// let estimate = estimator.estimate(ClockTime::new(2_000), QueueLane::Long, ahead).unwrap();
/// assert!((800..1_200).contains(&estimate.wait.as_millis()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimator {
    /// Rates of placements of quick calls, long ones and late ones.
    placements: [EventRate; 3],
    /// Rate of all arrivals.
    arrivals: EventRate,
    /// Time of the first and of the last placement since calls wait.
    placed: Option<(ClockTime, ClockTime)>,
    /// Since when no call waits; `None` while calls wait.
    idle_since: Option<ClockTime>,
}

impl Default for WaitEstimator {
    fn default() -> Self {
        Self {
            placements: [EventRate::new(ClockTime::ZERO, PLACEMENT_WINDOW); 3],
            arrivals: EventRate::new(ClockTime::ZERO, ARRIVAL_WINDOW),
            placed: None,
            idle_since: Some(ClockTime::ZERO),
        }
    }
}

impl WaitEstimator {
    /// Records that a new call arrived, whether or not it has to wait.
    pub fn record_arrival(&mut self, now: ClockTime) {
        if self.arrivals.is_unused() {
            self.arrivals = EventRate::new(now, ARRIVAL_WINDOW);
        }
        self.arrivals.record(now);
    }

    /// Records that a call waits; returns whether the rates are measured anew, as none waited for a
    /// while.
    pub fn begin_wait(&mut self, now: ClockTime) -> bool {
        let since = self.idle_since.take();
        let is_new =
            since.is_some_and(|since| now.since(since) > IDLE_TIME || self.placed.is_none());
        if is_new {
            self.placements = [EventRate::new(now, PLACEMENT_WINDOW); 3];
            self.placed = None;
        }
        is_new
    }

    /// Whether calls wait.
    pub fn has_waiting(&self) -> bool {
        self.idle_since.is_none()
    }

    /// Records that no call waits any more.
    pub fn end_wait(&mut self, now: ClockTime) {
        self.idle_since.get_or_insert(now);
    }

    /// Records that a call was placed; it counts only while calls wait.
    pub fn record_placement(&mut self, now: ClockTime, lane: QueueLane) {
        if self.idle_since.is_some() {
            return;
        }
        self.placements[lane as usize].record(now);
        let first = self.placed.map_or(now, |(first, _)| first);
        self.placed = Some((first, now));
    }

    /// Expected wait of a call of a lane; `None` if no call waits, or if the rate of placements is
    /// not known or outdated.
    pub fn estimate(
        &self,
        now: ClockTime,
        lane: QueueLane,
        ahead: CallsAhead,
    ) -> Option<WaitEstimate> {
        let (first, last) = self.placed.filter(|_| self.idle_since.is_none())?;
        if now.since(first) < LEARNING_TIME || now.since(last) > STALE_AGE {
            return None;
        }
        let (count, rate) = match lane {
            QueueLane::Quick => (ahead.in_lane, self.capacity(now)),
            QueueLane::Long => {
                let quick = self.placements[QueueLane::Quick as usize].per_second(now);
                let rate = self.capacity(now) - quick;
                if rate <= 0.0 {
                    // Only quick calls were placed, so the rate of long ones is not known.
                    return None;
                }
                (ahead.in_lane, rate)
            }
            QueueLane::Late => {
                let (placed, arrived) = (self.capacity(now), self.arrivals.per_second(now));
                let error = error_of(placed, PLACEMENT_WINDOW) + error_of(arrived, ARRIVAL_WINDOW);
                (ahead.total, (placed - arrived + error.sqrt()).max(0.0))
            }
        };
        let millis = match (count, rate > 0.0) {
            (0, _) => 0,
            (_, true) => (f64::from(count) * 1_000.0 / rate) as u64,
            (_, false) => u64::MAX,
        };
        Some(WaitEstimate {
            ahead: count,
            rate: PlacementRate::per_second(rate),
            wait: TimeSpan::new(millis).min(LONGEST_WAIT),
        })
    }

    /// Time until `ahead` waiting calls are placed, and time between two callers that return, by
    /// the capacity that becomes free beside the arrivals.
    pub fn return_times(&self, now: ClockTime, ahead: CallsAhead) -> (TimeSpan, TimeSpan) {
        let capacity = self.capacity(now);
        let free = capacity - self.arrivals.per_second(now);
        let free = free.max(capacity * FREE_SHARE);
        if free <= 0.0 {
            return (TimeSpan::ZERO, TimeSpan::ZERO);
        }
        let first = f64::from(ahead.total) * 1_000.0 / capacity;
        (
            TimeSpan::new(first as u64),
            TimeSpan::new((1_000.0 / free) as u64),
        )
    }

    /// All placements per second.
    fn capacity(&self, now: ClockTime) -> f64 {
        let rates = self.placements.iter();
        rates.map(|rate| rate.per_second(now)).sum()
    }
}

/// Mean square error of an exponentially weighted rate of independent events.
fn error_of(per_second: f64, window: TimeSpan) -> f64 {
    per_second * 1_000.0 / (2.0 * window.as_millis() as f64)
}
