use base::{CallRate, ClockTime, NodeName, TimeSpan};
use serde::{Deserialize, Serialize};

/// Lowest rate at which requests are permitted, so that some answer shows when a target names a
/// higher rate again.
const MIN_RATE: CallRate = CallRate(100);
/// Time for which a bucket fills; a burst is what the rate allows in that time and a few requests.
const BURST_TIME: TimeSpan = TimeSpan::new(500);
/// Burst for a rate that has to be kept within each second, where 1.5 times the rate and 5 requests
/// more are allowed. Permits may be used up to 0.5 s late, so a second may see those of 1.5 s and
/// one burst.
const EVEN_BURST: f64 = 4.0;
/// Time for which a share of such a rate has to be larger before the larger share is granted: after
/// a cut between domains heals, the node that granted the rest may not have noticed yet. The
/// coordinators hear each other within half a second.
const SHARE_RISE_DELAY: TimeSpan = TimeSpan::new(1_500);
/// Those requests.
const BURST_EXTRA: f64 = 2.0;
/// Time after its creation in which a bucket fills more slowly: another node may still grant
/// permits, because it was replaced only now or is cut off from this one and not yet missed.
const WARM_UP_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Part of the rate at which a bucket fills in that time.
const WARM_UP_SHARE: f64 = 0.25;
/// Time for whose requests one grant suffices at most.
const GRANT_TIME: TimeSpan = TimeSpan::new(50);
/// Longest time after which a refused node may request permits again.
const WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(4);
/// Shortest such time.
const MIN_WAIT: TimeSpan = TimeSpan::new(20);
const SECOND_MS: f64 = 1_000.0;

/// Answer to a request for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateGrant {
    /// So many requests may be sent, soon.
    Permits(u32),
    /// The rate is used up.
    Wait {
        /// Time after which the node may request permits again.
        wait: TimeSpan,
        /// Number of nodes that wait, the requesting one included.
        waiting_nodes: u32,
    },
}

/// Token bucket for the requests to one target that names a rate, shared by all nodes.
///
/// ```
/// use base::{CallRate, ClockTime, NodeName};
/// use entry::{RateBucket, RateGrant};
/// let node: NodeName = "n1".parse().unwrap();
/// let mut bucket = RateBucket::new(ClockTime::new(0));
/// let now = ClockTime::new(10_000);
/// let rate = CallRate(2_000);
/// assert_eq!(bucket.grant(now, rate, 1.0, &node, 1), RateGrant::Permits(1));
/// assert_eq!(bucket.grant(now, rate, 1.0, &node, 1), RateGrant::Permits(1));
/// assert_eq!(bucket.grant(now, rate, 1.0, &node, 1), RateGrant::Permits(1));
/// assert!(matches!(bucket.grant(now, rate, 1.0, &node, 1), RateGrant::Wait { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct RateBucket {
    created_at: ClockTime,
    refilled_at: ClockTime,
    /// Whether the rate has to be kept within each second.
    is_even: bool,
    /// Part of the rate that is granted, if it has to be kept within each second.
    even_share: Option<f64>,
    /// Since when a larger part could be granted.
    rising_since: Option<ClockTime>,
    /// Requests that may be permitted now.
    level: f64,
    /// Refused nodes, each with the time at which it may request permits again.
    waiting: Vec<(ClockTime, NodeName)>,
}

impl RateBucket {
    /// Creates an empty bucket.
    pub fn new(now: ClockTime) -> Self {
        Self {
            created_at: now,
            refilled_at: now,
            is_even: false,
            even_share: None,
            rising_since: None,
            level: 0.0,
            waiting: Vec::new(),
        }
    }

    /// Sets whether the rate has to be kept within each second, so that bursts are small.
    pub fn set_even(&mut self, is_even: bool) {
        self.is_even = is_even;
    }

    /// Grants up to `wanted` permits to a node, out of `share` (0 to 1) of the rate that the target
    /// names.
    pub fn grant(
        &mut self,
        now: ClockTime,
        rate: CallRate,
        share: f64,
        node: &NodeName,
        wanted: u32,
    ) -> RateGrant {
        let share = match self.is_even {
            true => self.delay_rise(now, share),
            false => share,
        };
        let rate = rate.max(MIN_RATE).0 as f64 / SECOND_MS * share;
        let seconds = |span: TimeSpan| span.as_millis() as f64 / SECOND_MS;
        let warm_at = self.created_at + WARM_UP_TIME;
        let slow = seconds(warm_at.min(now).since(self.refilled_at));
        let full = seconds(now.since(self.refilled_at.max(warm_at)));
        let burst = match self.is_even {
            true => EVEN_BURST,
            false => BURST_EXTRA + rate * seconds(BURST_TIME),
        };
        self.level = (self.level + rate * (slow * WARM_UP_SHARE + full)).min(burst);
        self.refilled_at = now;
        self.waiting
            .retain(|(until, waiting)| *until > now && waiting != node);
        if self.level >= 1.0 {
            let batch = (rate * seconds(GRANT_TIME)).max(1.0);
            let count = self.level.min(batch).min(f64::from(wanted.max(1))).floor();
            self.level -= count;
            return RateGrant::Permits(count as u32);
        }
        let ahead = self.waiting.len() as f64;
        let pace = if now < warm_at {
            rate * WARM_UP_SHARE
        } else {
            rate
        };
        let wait = (1.0 - self.level + ahead) / pace;
        let wait = TimeSpan::new((wait * SECOND_MS).ceil() as u64).clamp(MIN_WAIT, WAIT_LIMIT);
        self.waiting.push((now + wait, node.clone()));
        RateGrant::Wait {
            wait,
            waiting_nodes: self.waiting.len() as u32,
        }
    }

    /// Share to grant now: a smaller one at once, a larger one after a while.
    fn delay_rise(&mut self, now: ClockTime, share: f64) -> f64 {
        let known = *self.even_share.get_or_insert(share);
        if share <= known {
            self.even_share = Some(share);
            self.rising_since = None;
            return share;
        }
        let since = *self.rising_since.get_or_insert(now);
        if now.since(since) < SHARE_RISE_DELAY {
            return known;
        }
        self.even_share = Some(share);
        self.rising_since = None;
        share
    }
}
