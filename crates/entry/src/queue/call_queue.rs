use base::{ClockTime, ServiceName, TimeSpan};

/// Waiting time that one priority rank is worth: a call goes before one of the next more urgent rank
/// that arrived later by more than this.
const RANK_DELAY: TimeSpan = TimeSpan::new(400);

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
}

#[derive(Clone, Debug)]
struct QueueEntry {
    /// Arrival time plus the delay for the priority rank, then the ticket.
    order: (ClockTime, QueueTicket),
    call: QueuedCall,
}

/// Class of waiting calls, in the order in which the classes are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueueLane {
    /// Calls with short outputs that can still be on time; they occupy room only briefly.
    Quick,
    /// Calls with long outputs that can still be on time.
    Long,
    /// Calls that can no longer be on time.
    Late,
}

impl QueueEntry {
    fn lane(&self, now: ClockTime) -> QueueLane {
        match (self.call.start_by < now, self.call.is_quick) {
            (true, _) => QueueLane::Late,
            (false, true) => QueueLane::Quick,
            (false, false) => QueueLane::Long,
        }
    }
}

/// Queue of waiting calls. They are served by lane, and within a lane by arrival time plus a delay
/// for their priority rank.
///
/// When calls need more room than there is, and all were served by arrival, each would wait so long
/// that none is on time. So calls that can no longer be on time go behind those that can, and are
/// served when there is room again. Within a lane, small calls do not overtake large ones, which
/// would starve otherwise.
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
    /// Sorted by `order`.
    entries: Vec<QueueEntry>,
}

impl CallQueue {
    /// Adds a call; the ticket identifies it from then on.
    pub fn push(&mut self, call: QueuedCall) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let order = (call.arrived + RANK_DELAY * u64::from(call.priority), ticket);
        let at = self.entries.partition_point(|entry| entry.order < order);
        self.entries.insert(at, QueueEntry { order, call });
        ticket
    }

    /// Removes a call, whether or not it got room.
    pub fn remove(&mut self, ticket: QueueTicket) {
        self.entries.retain(|entry| entry.order.1 != ticket);
    }

    /// Call of a service that is to be served next, moves of generations aside.
    pub fn peek(&self, now: ClockTime, service: &ServiceName) -> Option<QueueTicket> {
        let waiting = self.entries.iter();
        let waiting = waiting.filter(|entry| entry.call.service == *service && !entry.call.is_move);
        let first = waiting.min_by_key(|entry| (entry.lane(now), entry.order));
        first.map(|entry| entry.order.1)
    }

    /// Calls of a service in the order in which they are to be served, moves of generations aside.
    pub fn ordered(&self, now: ClockTime, service: &ServiceName) -> Vec<QueueTicket> {
        let waiting = self.entries.iter();
        let waiting = waiting.filter(|entry| entry.call.service == *service && !entry.call.is_move);
        let mut keys: Vec<_> = waiting
            .map(|entry| (entry.lane(now), entry.order))
            .collect();
        keys.sort();
        keys.into_iter().map(|(_, order)| order.1).collect()
    }

    /// Number of calls of a service that go before a new call that can still be on time.
    pub fn count_ahead(&self, now: ClockTime, service: &ServiceName, is_quick: bool) -> usize {
        let waiting = self.entries.iter();
        let waiting = waiting.filter(|entry| entry.call.service == *service);
        let lane = match is_quick {
            true => QueueLane::Quick,
            false => QueueLane::Long,
        };
        let waiting = waiting.filter(|entry| !entry.call.is_move);
        waiting.filter(|entry| entry.lane(now) <= lane).count()
    }

    /// Generations that wait to be moved, in queue order; they do not wait for each other, so each
    /// may be moved as soon as there is room.
    pub fn queued_moves(&self) -> Vec<QueueTicket> {
        let moves = self.entries.iter().filter(|entry| entry.call.is_move);
        moves.map(|entry| entry.order.1).collect()
    }

    /// Services with waiting calls, sorted.
    pub fn services(&self) -> Vec<ServiceName> {
        let mut names: Vec<_> = self
            .entries
            .iter()
            .map(|entry| &entry.call.service)
            .collect();
        names.sort();
        names.dedup();
        names.into_iter().cloned().collect()
    }
}
