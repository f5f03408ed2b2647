use base::{CallRate, ClockTime, TimeSpan};

use super::{RateGrant, RateRecord};

/// Time within which a permit has to be used.
const PERMIT_LIFETIME: TimeSpan = TimeSpan::new(500);
/// Interval over which the sends of this node are counted to request permits for the next ones.
const DEMAND_INTERVAL: TimeSpan = TimeSpan::new(250);
/// Requests for permits of one target that may be open at a time.
const OPEN_REQUEST_LIMIT: u32 = 8;
/// Time for which nothing is sent while that many requests are open.
const BUSY_WAIT: TimeSpan = TimeSpan::new(20);
/// Percentage by which a rate has to differ from the known one to count as another.
const CHANGE_PERCENT: u64 = 10;
/// Shortest time between two records by which this node raises the rate of a target.
const RAISE_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Permit to send one request to a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendPermit {
    expires_at: Option<ClockTime>,
}

impl SendPermit {
    /// Whether it holds for a target that names a rate.
    pub fn is_valid(self, now: ClockTime) -> bool {
        self.expires_at.is_some_and(|at| now < at)
    }
}

/// Outcome of the attempt to take a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request may be sent now.
    Taken(SendPermit),
    /// The rate is used up for this time.
    Wait(TimeSpan),
    /// So many permits have to be requested from the node that shares the rate.
    Request(u32),
}

/// Rate of calls that a run of a target accepts from all nodes together, and the permits of this
/// node for sending to it.
///
/// ```
/// use base::{CallRate, ClockTime, TimeSpan};
/// use entry::{PermitOutcome, RateGrant, TargetRate};
/// let now = ClockTime::new(1_000);
/// let mut rate = TargetRate::default();
/// assert!(matches!(rate.take_permit(now), PermitOutcome::Taken(_)));
/// rate.observe(now, now, Some(CallRate(2_000)));
/// assert_eq!(rate.take_permit(now), PermitOutcome::Request(1));
/// rate.end_request(now, RateGrant::Permits(1));
/// assert!(matches!(rate.take_permit(now), PermitOutcome::Taken(_)));
/// assert_eq!(rate.take_permit(now), PermitOutcome::Request(1));
/// let wait = TimeSpan::new(400);
/// rate.end_request(now, RateGrant::Wait { wait, waiting_nodes: 1 });
/// assert_eq!(rate.take_permit(now), PermitOutcome::Wait(wait));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TargetRate {
    record: Option<RateRecord>,
    learned_at: ClockTime,
    /// Expiry time of each unused permit, the first to expire first.
    permits: Vec<ClockTime>,
    open_requests: u32,
    waits_until: Option<ClockTime>,
    /// Nodes that waited for permits, this one included, at the last refusal.
    waiting_nodes: u32,
    /// Start of the current demand interval, and the sends in it and in the one before.
    demand: (ClockTime, u32, u32),
    /// Whether the target named a rate that could not be read.
    is_unreadable: bool,
    /// Rate while the target is cold, and until when it is.
    cold: Option<(CallRate, ClockTime)>,
}

impl TargetRate {
    /// The rate, if the target names one.
    pub fn limit(&self) -> Option<CallRate> {
        self.record.and_then(|record| record.rate)
    }

    /// Sets the rate that holds while the target is cold, and until when it is; `None` if the target
    /// takes any rate while it is cold.
    pub fn set_cold(&mut self, cold: Option<(CallRate, ClockTime)>) {
        self.cold = cold;
    }

    /// The rate that holds as the target is cold; `None` if it is warm or takes any rate.
    pub fn cold_limit(&self, now: ClockTime) -> Option<CallRate> {
        let cold = self.cold.filter(|(_, until)| now < *until);
        cold.map(|(rate, _)| rate)
    }

    /// The rate that holds now: the one that the target names or the one while it is cold, whichever
    /// is lower.
    ///
    /// ```
    /// use base::{CallRate, ClockTime};
    /// use entry::TargetRate;
    /// let mut rate = TargetRate::default();
    /// rate.set_cold(Some((CallRate(31_000), ClockTime::new(500))));
    /// assert_eq!(rate.limit_at(ClockTime::new(499)), Some(CallRate(31_000)));
    /// assert_eq!(rate.limit_at(ClockTime::new(500)), None);
    /// ```
    pub fn limit_at(&self, now: ClockTime) -> Option<CallRate> {
        self.limit().into_iter().chain(self.cold_limit(now)).min()
    }

    /// The newest record of the rate that this node knows.
    pub fn record(&self) -> Option<RateRecord> {
        self.record
    }

    /// Number of nodes that waited for permits at the last refusal.
    pub fn waiting_nodes(&self) -> u32 {
        self.waiting_nodes
    }

    /// Takes the rate that an answer to a request sent at `sent_at` names; returns the record to
    /// tell other nodes, if it changes what is known.
    ///
    /// An answer to a request that was sent before the known rate was learned may be older than it,
    /// so it can only lower the rate.
    pub fn observe(
        &mut self,
        now: ClockTime,
        sent_at: ClockTime,
        rate: Option<CallRate>,
    ) -> Option<RateRecord> {
        let known = self.limit();
        let changes = match (known, rate) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(known), Some(rate)) if rate < known => is_distinct(known, rate),
            (Some(known), Some(rate)) => is_distinct(known, rate) && self.may_raise(now, sent_at),
            (Some(_), None) => self.may_raise(now, sent_at),
        };
        if !changes {
            return None;
        }
        let sequence = self.record.map_or(1, |record| record.sequence + 1);
        let record = RateRecord { sequence, rate };
        self.adopt(now, record);
        Some(record)
    }

    /// Adopts a record of another node if it is newer; returns whether it is.
    pub fn adopt(&mut self, now: ClockTime, record: RateRecord) -> bool {
        if self.record.is_some_and(|known| !record.replaces(&known)) {
            return false;
        }
        let has_changed = self.limit() != record.rate;
        self.record = Some(record);
        if has_changed {
            self.learned_at = now;
        }
        if record.rate.is_none() {
            self.permits.clear();
            self.waits_until = None;
        }
        true
    }

    /// Gives the known rate a new record, so that other nodes do not forget it.
    pub fn renew(&mut self, now: ClockTime) -> RateRecord {
        let known = self.record.unwrap_or_default();
        let record = RateRecord {
            sequence: known.sequence + 1,
            ..known
        };
        self.adopt(now, record);
        record
    }

    /// Records that the rate that the target names can't be read; returns whether that is new.
    pub fn mark_unreadable(&mut self) -> bool {
        !std::mem::replace(&mut self.is_unreadable, true)
    }

    /// Time until this node may request permits again; `None` if it may send or request now.
    pub fn wait_left(&self, now: ClockTime) -> Option<TimeSpan> {
        self.limit_at(now)?;
        let until = self.waits_until.filter(|until| now < *until)?;
        Some(until - now)
    }

    /// Takes a permit to send one request, if there is one or none is needed.
    pub fn take_permit(&mut self, now: ClockTime) -> PermitOutcome {
        if self.limit_at(now).is_none() {
            return PermitOutcome::Taken(SendPermit::default());
        }
        self.permits.retain(|expires_at| now < *expires_at);
        if !self.permits.is_empty() {
            self.count_send(now);
            let expires_at = Some(self.permits.remove(0));
            return PermitOutcome::Taken(SendPermit { expires_at });
        }
        if let Some(left) = self.wait_left(now) {
            return PermitOutcome::Wait(left);
        }
        if self.open_requests >= OPEN_REQUEST_LIMIT {
            self.waits_until = Some(now + BUSY_WAIT);
            return PermitOutcome::Wait(BUSY_WAIT);
        }
        self.open_requests += 1;
        let (start, current, last) = self.demand;
        let recent = match now.since(start) < DEMAND_INTERVAL + DEMAND_INTERVAL {
            true => current.max(last),
            false => 0,
        };
        PermitOutcome::Request(recent.max(1))
    }

    /// Takes the answer to a request for permits.
    pub fn end_request(&mut self, now: ClockTime, grant: RateGrant) {
        self.open_requests = self.open_requests.saturating_sub(1);
        match grant {
            RateGrant::Permits(count) => {
                let expires_at = now + PERMIT_LIFETIME;
                self.permits.extend((0..count).map(|_| expires_at));
                self.waits_until = None;
            }
            RateGrant::Wait {
                wait,
                waiting_nodes,
            } => {
                self.waits_until = Some(now + wait);
                self.waiting_nodes = waiting_nodes;
            }
        }
    }

    fn may_raise(&self, now: ClockTime, sent_at: ClockTime) -> bool {
        sent_at > self.learned_at && now.since(self.learned_at) >= RAISE_INTERVAL
    }

    fn count_send(&mut self, now: ClockTime) {
        let (start, current, last) = self.demand;
        let age = now.since(start);
        self.demand = match age < DEMAND_INTERVAL {
            true => (start, current + 1, last),
            false if age < DEMAND_INTERVAL + DEMAND_INTERVAL => (now, 1, current),
            false => (now, 1, 0),
        };
    }
}

/// Whether two rates differ by more than what is not worth telling other nodes.
fn is_distinct(known: CallRate, rate: CallRate) -> bool {
    known.0.abs_diff(rate.0).saturating_mul(100) > known.0.saturating_mul(CHANGE_PERCENT)
}
