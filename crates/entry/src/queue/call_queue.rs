use base::{ClockTime, ServiceName, TimeSpan, WorkspaceName};
use strum::IntoEnumIterator;

use super::{CallsAhead, QueueLane, ShareSlot, WaitEstimate, WaitEstimator, WorkspaceShares};

/// Waiting time that one priority rank is worth: a call goes before one of the next more urgent rank
/// that arrived later by more than this.
const RANK_DELAY: TimeSpan = TimeSpan::new(400);
/// Part of the time that a call can wait and be on time by which it goes behind calls that can't
/// wait as long. All of it would put a less urgent kind with a short latency target ahead of a more
/// urgent one with a long target, so it counts for less than one rank.
const SLACK_DIVISOR: u64 = 8;
/// Work of quick calls that go before a waiting long call that can be on time, beside the work of
/// that call, if they are as urgent or more; if they are less urgent, it is as much as its work.
const QUICK_SHARE: u64 = 8;
/// Long calls that go before quick ones at most once they find room again: quick calls that were
/// placed while no long call found room took nothing from these.
const DEBT_CALLS: u64 = 2;
/// Time for which a call that left the queue unserved counts as waiting. Nodes repeat the requests
/// of waiting calls at once, which takes a few milliseconds, or some tens on a busy node.
const ABSENCE_TIME: TimeSpan = TimeSpan::new(100);
/// Largest difference between the arrival of a call as derived from two of its requests, which
/// varies with their time on the way. It is below the time for which a request is held, so that a
/// new call is not taken for one that is back; which of several calls alike is back does not matter.
const ARRIVAL_TOLERANCE: TimeSpan = TimeSpan::new(120);
/// Factor by which an estimated wait has to exceed what the call can wait before it is refused.
/// Between 1.25 and 2, the load test gives the same sum of values within a hundredth; a smaller
/// factor refuses more calls that would be served late.
const REFUSAL_MARGIN: f64 = 1.5;

/// Identifies a call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// A call that waits for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedCall {
    /// Service that the call is for.
    pub service: ServiceName,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// When the call arrived.
    pub arrived: ClockTime,
    /// Latest time at which the call can be placed and still be on time.
    pub start_by: ClockTime,
    /// Whether its output is short.
    pub is_quick: bool,
    /// Whether it is a running generation to be moved; these are not part of the service order.
    pub is_move: bool,
    /// Workspace of the caller, among which the capacity is shared.
    pub workspace: Option<WorkspaceName>,
    /// Work that the call needs: prompt tokens plus expected output tokens.
    pub work: u64,
}

impl QueuedCall {
    fn lane(&self, now: ClockTime) -> QueueLane {
        match (self.start_by < now, self.is_quick) {
            (true, _) => QueueLane::Late,
            (false, true) => QueueLane::Quick,
            (false, false) => QueueLane::Long,
        }
    }

    /// Whether both describe the same call, as far as its requests tell.
    fn is_same(&self, other: &Self) -> bool {
        let apart = match self.arrived < other.arrived {
            true => other.arrived.since(self.arrived),
            false => self.arrived.since(other.arrived),
        };
        apart <= ARRIVAL_TOLERANCE
            && self.is_quick == other.is_quick
            && self.priority == other.priority
            && self.workspace == other.workspace
    }
}

/// Refusal of a call whose estimated wait exceeds what it can wait; the call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitRefusal {
    /// Estimate that caused the refusal.
    pub estimate: WaitEstimate,
    /// Time until the calls ahead are placed.
    pub first_return: TimeSpan,
    /// Time between two callers that return, at the rate at which capacity becomes free.
    pub return_interval: TimeSpan,
}

/// State of the queue of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueStatus {
    /// The service.
    pub service: ServiceName,
    /// Numbers of waiting calls by lane, in the order of the lanes.
    pub waiting: [u32; 3],
    /// Expected waits of a call at the end of each lane, where they can be told.
    pub waits: [Option<TimeSpan>; 3],
    /// Workspaces with the most work placed while calls waited, each with its share in thousandths.
    pub shares: Vec<(Option<WorkspaceName>, u32)>,
}

#[derive(Clone, Debug)]
struct QueueEntry {
    ticket: QueueTicket,
    call: QueuedCall,
    slot: Option<ShareSlot>,
}

/// Waiting calls of one service.
#[derive(Clone, Debug)]
struct ServiceQueue {
    service: ServiceName,
    entries: Vec<QueueEntry>,
    /// Calls that left unserved and are expected back, each with the time until which they count.
    absent: Vec<(ClockTime, QueuedCall)>,
    shares: WorkspaceShares,
    estimator: WaitEstimator,
    /// Work of quick calls that were placed before long calls that could be on time, less
    /// [`QUICK_SHARE`] times the work of long calls placed since. The work of less urgent quick
    /// calls counts as many times.
    overtaken: u64,
}

/// Queue of waiting calls. They are served by lane, and within a lane by arrival time plus delays
/// for their priority rank, for the time that they can wait and be on time, and for the surplus of
/// their workspace.
///
/// When calls need more room than there is, and all were served by arrival, each would wait so long
/// that none is on time. So calls that can no longer be on time go behind those that can, and are
/// served when there is room again. Within a lane, small calls do not overtake large ones, which
/// would starve otherwise. Quick calls go before long ones, as they occupy room only briefly, but
/// no kind takes all: beside long calls that wait on time, quick calls get at most eight times their
/// work, and as much as theirs if they are less urgent.
///
/// Load: 1,000 waiting calls of 100 workspaces and of a few services; a decision takes time
/// proportional to the waiting calls of the service, at most 20 us.
///
/// ```
/// use base::ClockTime;
/// use entry::{CallQueue, QueuedCall};
/// let call = |arrived, is_quick| QueuedCall {
///     service: "pool".parse().unwrap(),
///     priority: 0,
///     arrived: ClockTime::new(arrived),
///     start_by: ClockTime::new(arrived + 500),
///     is_quick,
///     is_move: false,
///     workspace: None,
///     work: 1,
/// };
/// let mut queue = CallQueue::default();
/// let long = queue.push(call(0, false));
/// let quick = queue.push(call(100, true));
/// let service = "pool".parse().unwrap();
/// assert_eq!(queue.peek(ClockTime::new(150), &service), Some(quick));
/// queue.remove(quick);
/// assert_eq!(queue.peek(ClockTime::new(150), &service), Some(long));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallQueue {
    next_ticket: u64,
    /// Sorted by service. A service stays for its rates when no call waits.
    services: Vec<ServiceQueue>,
}

impl CallQueue {
    /// Adds a call; the ticket identifies it from then on.
    pub fn push(&mut self, call: QueuedCall) -> QueueTicket {
        let now = call.arrived;
        self.push_at(now, call)
    }

    /// Adds a call at `now`, which may have waited here before.
    pub fn push_at(&mut self, now: ClockTime, call: QueuedCall) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let queue = self.service_mut(&call.service);
        let slot = (!call.is_move).then(|| {
            queue.begin_wait(now);
            queue.take_absent(&call);
            queue.shares.enter(now, call.workspace.as_ref())
        });
        queue.entries.push(QueueEntry { ticket, call, slot });
        ticket
    }

    /// Removes a call.
    pub fn remove(&mut self, ticket: QueueTicket) {
        self.take(ticket);
    }

    /// Removes a call that was not served and does not return.
    pub fn abandon(&mut self, now: ClockTime, ticket: QueueTicket) {
        if let Some((queue, _)) = self.take(ticket) {
            queue.update_idle(now);
        }
    }

    /// Removes a call that was not served, and whose node may repeat the request.
    pub fn leave(&mut self, now: ClockTime, ticket: QueueTicket) {
        if let Some((queue, entry)) = self.take(ticket) {
            if !entry.call.is_move {
                queue.absent.push((now + ABSENCE_TIME, entry.call));
            }
            queue.update_idle(now);
        }
    }

    /// Removes a call that got room.
    pub fn place(&mut self, now: ClockTime, ticket: QueueTicket) {
        if let Some((queue, entry)) = self.take(ticket) {
            queue.record_placement(now, &entry.call, entry.slot);
        }
    }

    /// Records that a new call arrived, whether or not it has to wait.
    pub fn record_arrival(&mut self, now: ClockTime, service: &ServiceName) {
        self.service_mut(service).estimator.record_arrival(now);
    }

    /// Records that a call got room that is not in the queue.
    pub fn place_direct(&mut self, now: ClockTime, call: &QueuedCall) {
        let queue = self.service_mut(&call.service);
        queue.take_absent(call);
        queue.record_placement(now, call, None);
    }

    /// Call of a service that is to be served next, moves of generations aside.
    pub fn peek(&self, now: ClockTime, service: &ServiceName) -> Option<QueueTicket> {
        let next = self.peek_beside(now, service, &[]);
        next.map(|(ticket, _)| ticket)
    }

    /// Call of a service that is to be served next, and its lane, if no call of the lanes `blocked`
    /// finds room: calls of different lanes may use different room.
    pub fn peek_beside(
        &self,
        now: ClockTime,
        service: &ServiceName,
        blocked: &[QueueLane],
    ) -> Option<(QueueTicket, QueueLane)> {
        let queue = self.find(service)?;
        // First call of each lane, with its position.
        let mut firsts = [None; 3];
        for entry in &queue.entries {
            let order = queue.order(now, entry);
            let first: &mut Option<(_, &QueueEntry)> = &mut firsts[order.0 as usize];
            let is_first = first.is_none_or(|(known, _)| order < known);
            if is_first && !entry.call.is_move && !blocked.contains(&order.0) {
                *first = Some((order, entry));
            }
        }
        let [quick, long, late] = firsts.map(|first| first.map(|(_, entry)| entry));
        let (first, lane) = match (quick, long) {
            (Some(quick), Some(long)) if !queue.is_overtaken(&long.call) => {
                (quick, QueueLane::Quick)
            }
            (_, Some(long)) => (long, QueueLane::Long),
            (Some(quick), None) => (quick, QueueLane::Quick),
            (None, None) => (late?, QueueLane::Late),
        };
        Some((first.ticket, lane))
    }

    /// Calls of a service in the order in which they are to be served, moves of generations aside.
    pub fn ordered(&self, now: ClockTime, service: &ServiceName) -> Vec<QueueTicket> {
        let Some(queue) = self.find(service) else {
            return Vec::new();
        };
        let waiting = queue.entries.iter().filter(|entry| !entry.call.is_move);
        let mut keys: Vec<_> = waiting
            .map(|entry| (queue.order(now, entry), entry.ticket))
            .collect();
        keys.sort();
        keys.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Number of calls of a service that go before a new call that can still be on time.
    pub fn count_ahead(&self, now: ClockTime, service: &ServiceName, is_quick: bool) -> usize {
        let lane = match is_quick {
            true => QueueLane::Quick,
            false => QueueLane::Long,
        };
        let Some(queue) = self.find(service) else {
            return 0;
        };
        let waiting = queue.entries.iter().map(|entry| &entry.call);
        let waiting = waiting.filter(|call| !call.is_move);
        waiting.filter(|call| call.lane(now) <= lane).count()
    }

    /// Whether a call that is not in the queue has to wait for others that are.
    pub fn has_ahead(&self, now: ClockTime, call: &QueuedCall) -> bool {
        let Some(queue) = self.find(&call.service) else {
            return false;
        };
        let lag = queue.shares.lag_of_name(call.workspace.as_ref());
        let own = queue.order_of(now, call, lag, QueueTicket(u64::MAX));
        let mut waiting = queue.entries.iter().filter(|entry| !entry.call.is_move);
        match own.0 {
            QueueLane::Quick => waiting.any(|entry| {
                let lane = entry.call.lane(now);
                lane == QueueLane::Quick
                    || (lane == QueueLane::Long && queue.is_overtaken(&entry.call))
            }),
            QueueLane::Long => waiting.any(|entry| entry.call.lane(now) <= own.0),
            QueueLane::Late => waiting.any(|entry| queue.order(now, entry) < own),
        }
    }

    /// Expected wait of a call that is not in the queue; `None` if it can't be told.
    pub fn estimate(&self, now: ClockTime, call: &QueuedCall) -> Option<WaitEstimate> {
        let queue = self.find(&call.service)?;
        let lane = call.lane(now);
        let on_time = match lane {
            QueueLane::Late => None,
            QueueLane::Quick | QueueLane::Long => {
                let ahead = queue.calls_ahead(now, call, lane);
                Some(queue.estimator.estimate(now, lane, ahead)?)
            }
        };
        let slack = call.start_by.since(now);
        match on_time.filter(|estimate| !exceeds(estimate.wait, slack)) {
            Some(estimate) => Some(estimate),
            None => {
                let ahead = queue.calls_ahead(now, call, QueueLane::Late);
                queue.estimator.estimate(now, QueueLane::Late, ahead)
            }
        }
    }

    /// Refusal of a call that is not in the queue and can wait for `patience`; `None` if it is to
    /// wait, also if its wait can't be told.
    ///
    /// ```
    /// use base::{ClockTime, TimeSpan};
    /// use entry::{CallQueue, QueuedCall};
    /// let call = |arrived| QueuedCall {
    ///     service: "pool".parse().unwrap(),
    ///     priority: 0,
    ///     arrived: ClockTime::new(arrived),
    ///     start_by: ClockTime::new(arrived + 100),
    ///     is_quick: false,
    ///     is_move: false,
    ///     workspace: None,
    ///     work: 1,
    /// };
    /// let mut queue = CallQueue::default();
    /// (0..20).for_each(|_| { queue.push(call(0)); });
    /// for at in 1..=15 {
    ///     let ticket = queue.push(call(at * 100));
    ///     queue.place(ClockTime::new(at * 100), ticket);
    /// }
    /// // Twenty calls are ahead, and ten a second are placed.
    /// let now = ClockTime::new(1_500);
    /// assert!(queue.refuse_early(now, &call(1_000), TimeSpan::from_secs(1)).is_some());
    /// assert!(queue.refuse_early(now, &call(1_000), TimeSpan::from_secs(3)).is_none());
    /// ```
    pub fn refuse_early(
        &self,
        now: ClockTime,
        call: &QueuedCall,
        patience: TimeSpan,
    ) -> Option<WaitRefusal> {
        let estimate = self.estimate(now, call)?;
        if call.is_move || !exceeds(estimate.wait, patience) {
            return None;
        }
        let queue = self.find(&call.service)?;
        let ahead = queue.calls_ahead(now, call, QueueLane::Late);
        let (first_return, return_interval) = queue.estimator.return_times(now, ahead);
        Some(WaitRefusal {
            estimate,
            first_return,
            return_interval,
        })
    }

    /// Generations that wait to be moved, in queue order; they do not wait for each other, so each
    /// may be moved as soon as there is room.
    pub fn queued_moves(&self) -> Vec<QueueTicket> {
        let entries = self.services.iter().flat_map(|queue| &queue.entries);
        let moves = entries.filter(|entry| entry.call.is_move);
        let mut moves: Vec<_> = moves
            .map(|entry| (ranked_arrival(&entry.call), entry.ticket))
            .collect();
        moves.sort();
        moves.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Services with waiting calls, sorted.
    pub fn services(&self) -> Vec<ServiceName> {
        let waiting = self.services.iter();
        let waiting = waiting.filter(|queue| !queue.entries.is_empty());
        waiting.map(|queue| queue.service.clone()).collect()
    }

    /// State of the queue of each service that had waiting calls, with the shares of at most `limit`
    /// workspaces.
    pub fn statuses(&self, now: ClockTime, limit: usize) -> Vec<QueueStatus> {
        let queues = self.services.iter();
        queues.map(|queue| queue.status(now, limit)).collect()
    }

    fn find(&self, service: &ServiceName) -> Option<&ServiceQueue> {
        let at = self
            .services
            .binary_search_by(|queue| queue.service.cmp(service));
        at.ok().map(|at| &self.services[at])
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceQueue {
        let found = self
            .services
            .binary_search_by(|queue| queue.service.cmp(service));
        let at = found.unwrap_or_else(|at| {
            self.services.insert(at, ServiceQueue::new(service.clone()));
            at
        });
        &mut self.services[at]
    }

    fn take(&mut self, ticket: QueueTicket) -> Option<(&mut ServiceQueue, QueueEntry)> {
        let has_it =
            |queue: &&mut ServiceQueue| queue.entries.iter().any(|entry| entry.ticket == ticket);
        let queue = self.services.iter_mut().find(has_it)?;
        let at = queue
            .entries
            .iter()
            .position(|entry| entry.ticket == ticket)?;
        let entry = queue.entries.swap_remove(at);
        if let Some(slot) = entry.slot {
            queue.shares.leave(slot);
        }
        Some((queue, entry))
    }
}

/// Arrival time plus the delay for the priority rank.
fn ranked_arrival(call: &QueuedCall) -> ClockTime {
    call.arrived + RANK_DELAY * u64::from(call.priority)
}

/// Time by which the calls of a lane are ordered.
fn time_in_lane(call: &QueuedCall, lane: QueueLane) -> ClockTime {
    match lane {
        QueueLane::Late => ranked_arrival(call),
        QueueLane::Quick | QueueLane::Long => {
            let slack = call.start_by.since(call.arrived) / SLACK_DIVISOR;
            ranked_arrival(call) + slack.min(RANK_DELAY)
        }
    }
}

/// Whether an estimated wait certainly exceeds what a call can wait.
fn exceeds(wait: TimeSpan, limit: TimeSpan) -> bool {
    wait.as_millis() as f64 > limit.as_millis() as f64 * REFUSAL_MARGIN
}

impl ServiceQueue {
    fn new(service: ServiceName) -> Self {
        Self {
            service,
            entries: Vec::new(),
            absent: Vec::new(),
            shares: WorkspaceShares::default(),
            estimator: WaitEstimator::default(),
            overtaken: 0,
        }
    }

    /// Position of a waiting call: its lane, its time with the delays, then the ticket.
    fn order(&self, now: ClockTime, entry: &QueueEntry) -> (QueueLane, ClockTime, QueueTicket) {
        let lag = entry
            .slot
            .map_or(TimeSpan::ZERO, |slot| self.shares.lag(slot));
        self.order_of(now, &entry.call, lag, entry.ticket)
    }

    fn order_of(
        &self,
        now: ClockTime,
        call: &QueuedCall,
        lag: TimeSpan,
        ticket: QueueTicket,
    ) -> (QueueLane, ClockTime, QueueTicket) {
        let lane = call.lane(now);
        (lane, time_in_lane(call, lane) + lag, ticket)
    }

    /// Whether a long call that can be on time goes before quick ones, which have taken their part.
    fn is_overtaken(&self, long: &QueuedCall) -> bool {
        self.overtaken >= (long.work * QUICK_SHARE).max(1)
    }

    /// Calls that go before one that is not in the queue, counted as one of `lane`; calls between
    /// two requests count as well.
    fn calls_ahead(&self, now: ClockTime, call: &QueuedCall, lane: QueueLane) -> CallsAhead {
        let lag = self.shares.lag_of_name(call.workspace.as_ref());
        let own = (lane, time_in_lane(call, lane) + lag, QueueTicket(u64::MAX));
        let waiting = self.entries.iter().filter(|entry| !entry.call.is_move);
        let waiting = waiting.map(|entry| self.order(now, entry));
        let absent = self
            .absent
            .iter()
            .filter(|(until, other)| *until > now && !other.is_same(call));
        let absent = absent.map(|(_, other)| {
            let lag = self.shares.lag_of_name(other.workspace.as_ref());
            self.order_of(now, other, lag, QueueTicket(0))
        });
        let mut ahead = CallsAhead::default();
        for order in waiting.chain(absent) {
            ahead.total += u32::from(order < own);
            ahead.in_lane += u32::from(order < own && order.0 == lane);
        }
        ahead
    }

    fn status(&self, now: ClockTime, limit: usize) -> QueueStatus {
        let mut waiting = [0; 3];
        for entry in self.entries.iter().filter(|entry| !entry.call.is_move) {
            waiting[entry.call.lane(now) as usize] += 1;
        }
        let mut total = 0;
        let waits = QueueLane::iter().map(|lane| {
            total += waiting[lane as usize];
            let ahead = CallsAhead {
                in_lane: waiting[lane as usize],
                total,
            };
            let estimate = self.estimator.estimate(now, lane, ahead);
            estimate.map(|estimate| estimate.wait)
        });
        let waits: Vec<_> = waits.collect();
        QueueStatus {
            service: self.service.clone(),
            waiting,
            waits: [waits[0], waits[1], waits[2]],
            shares: self.shares.largest(now, limit),
        }
    }

    fn begin_wait(&mut self, now: ClockTime) {
        self.absent.retain(|(until, _)| *until > now);
        if self.estimator.begin_wait(now) {
            self.shares.reset();
            self.overtaken = 0;
        }
    }

    /// Removes the record that a call left, since it is back.
    fn take_absent(&mut self, call: &QueuedCall) {
        if let Some(at) = self
            .absent
            .iter()
            .position(|(_, known)| known.is_same(call))
        {
            self.absent.swap_remove(at);
        }
    }

    /// Records that calls no longer wait, if so.
    fn update_idle(&mut self, now: ClockTime) {
        if !self.entries.iter().any(|entry| !entry.call.is_move) {
            self.estimator.end_wait(now);
        }
    }

    fn record_placement(&mut self, now: ClockTime, call: &QueuedCall, slot: Option<ShareSlot>) {
        if call.is_move {
            return;
        }
        self.estimator.record_placement(now, call.lane(now));
        let is_busy = self.estimator.has_waiting();
        match slot {
            Some(slot) => self.shares.charge(now, slot, call.work),
            None if is_busy => self
                .shares
                .charge_direct(now, call.workspace.as_ref(), call.work),
            None => {}
        }
        if call.is_quick {
            let long = self.entries.iter().map(|entry| &entry.call);
            let long = long.filter(|long| !long.is_move && long.lane(now) == QueueLane::Long);
            let (mut rank, mut largest) = (None, 0);
            for long in long {
                rank = Some(rank.map_or(long.priority, |rank: u8| rank.min(long.priority)));
                largest = largest.max(long.work);
            }
            self.overtaken += match rank {
                Some(rank) if rank < call.priority => call.work * QUICK_SHARE,
                Some(_) => call.work,
                None => 0,
            };
            self.overtaken = self.overtaken.min(largest * QUICK_SHARE * DEBT_CALLS);
        } else {
            self.overtaken = self.overtaken.saturating_sub(call.work * QUICK_SHARE);
        }
        self.update_idle(now);
    }
}
