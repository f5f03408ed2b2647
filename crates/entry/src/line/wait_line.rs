use base::{ClockTime, ServiceName, TimeSpan};

/// Time that one rank of priority is worth; a call that waited longer goes before more urgent ones.
const RANK_DELAY: TimeSpan = TimeSpan::new(400);

/// Place of a call in a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineTicket(u64);

/// A call that waits for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineCall {
    /// Service that takes it.
    pub service: ServiceName,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// When it arrived.
    pub arrived: ClockTime,
    /// Latest moment at which it can begin and still be on time.
    pub start_by: ClockTime,
    /// Whether its output is short.
    pub is_quick: bool,
    /// Whether it is a generation that moves; such calls wait beside the line.
    pub is_move: bool,
}

#[derive(Clone, Debug)]
struct LineEntry {
    order: (ClockTime, LineTicket),
    call: LineCall,
}

/// Part of a line, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LineLane {
    /// Short outputs that can still be on time: they take room for a moment only.
    Quick,
    /// Long outputs that can still be on time.
    Long,
    /// Calls that will be late whatever is done.
    Late,
}

impl LineEntry {
    fn lane(&self, now: ClockTime) -> LineLane {
        match (self.call.start_by < now, self.call.is_quick) {
            (true, _) => LineLane::Late,
            (false, true) => LineLane::Quick,
            (false, false) => LineLane::Long,
        }
    }
}

/// Waiting calls in the order in which they are served: by lane, and within a lane by arrival,
/// delayed by priority.
///
/// Load: more calls than there is room for. If all were served by arrival, each would wait until
/// none is on time; so a call that can't be on time any more goes behind those that can, and is
/// served when there is room again. Large calls are not passed over within a lane, since they would
/// starve behind small ones.
///
/// ```
/// use base::ClockTime;
/// use entry::{LineCall, WaitLine};
/// let call = |arrived, is_quick| LineCall {
///     service: "pool".parse().unwrap(),
///     priority: 0,
///     arrived: ClockTime::new(arrived),
///     start_by: ClockTime::new(arrived + 500),
///     is_quick,
///     is_move: false,
/// };
/// let mut line = WaitLine::default();
/// let plan = line.join(call(0, false));
/// let quick = line.join(call(100, true));
/// let service = "pool".parse().unwrap();
/// assert_eq!(line.head(ClockTime::new(150), &service), Some(quick));
/// line.leave(quick);
/// assert_eq!(line.head(ClockTime::new(150), &service), Some(plan));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitLine {
    next: u64,
    /// Sorted by order.
    entries: Vec<LineEntry>,
}

impl WaitLine {
    /// Adds a call.
    pub fn join(&mut self, call: LineCall) -> LineTicket {
        let ticket = LineTicket(self.next);
        self.next += 1;
        let order = (call.arrived + RANK_DELAY * u64::from(call.priority), ticket);
        let at = self.entries.partition_point(|entry| entry.order < order);
        self.entries.insert(at, LineEntry { order, call });
        ticket
    }

    /// Removes a call, served or not.
    pub fn leave(&mut self, ticket: LineTicket) {
        self.entries.retain(|entry| entry.order.1 != ticket);
    }

    /// Call of a service that is served next.
    pub fn head(&self, now: ClockTime, service: &ServiceName) -> Option<LineTicket> {
        let waiting = self.entries.iter();
        let waiting = waiting.filter(|entry| entry.call.service == *service && !entry.call.is_move);
        let first = waiting.min_by_key(|entry| (entry.lane(now), entry.order));
        first.map(|entry| entry.order.1)
    }

    /// Calls of a service that go before a new call which can still be on time.
    pub fn count_ahead(&self, now: ClockTime, service: &ServiceName, is_quick: bool) -> usize {
        let waiting = self.entries.iter();
        let waiting = waiting.filter(|entry| entry.call.service == *service);
        let lane = match is_quick {
            true => LineLane::Quick,
            false => LineLane::Long,
        };
        let waiting = waiting.filter(|entry| !entry.call.is_move);
        waiting.filter(|entry| entry.lane(now) <= lane).count()
    }

    /// Generations that wait to be moved, by arrival; each may go as soon as it can.
    pub fn moves(&self) -> Vec<LineTicket> {
        let moves = self.entries.iter().filter(|entry| entry.call.is_move);
        moves.map(|entry| entry.order.1).collect()
    }

    /// Services for which calls wait.
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
