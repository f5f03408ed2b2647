use base::{ClockTime, ServiceName, TimeSpan};

/// Time that one rank of priority is worth; a call that waited longer goes before more urgent ones.
const RANK_DELAY: TimeSpan = TimeSpan::new(400);

/// Place of a call in a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineTicket(u64);

#[derive(Clone, Debug)]
struct LineEntry {
    order: (ClockTime, LineTicket),
    service: ServiceName,
}

/// Waiting calls in the order in which they are served: by arrival, delayed by priority.
///
/// Large calls are not passed over, since they would starve behind small ones.
///
/// ```
/// use base::ClockTime;
/// let service: base::ServiceName = "pool".parse().unwrap();
/// let mut line = entry::WaitLine::default();
/// let plan = line.join(ClockTime::new(0), &service, 1);
/// let quick = line.join(ClockTime::new(100), &service, 0);
/// assert_eq!(line.head(&service), Some(quick));
/// line.leave(quick);
/// assert_eq!(line.head(&service), Some(plan));
/// ```
#[derive(Clone, Debug, Default)]
pub struct WaitLine {
    next: u64,
    /// Sorted by order.
    entries: Vec<LineEntry>,
}

impl WaitLine {
    /// Adds a call.
    pub fn join(&mut self, now: ClockTime, service: &ServiceName, priority: u8) -> LineTicket {
        let ticket = LineTicket(self.next);
        self.next += 1;
        let order = (now + RANK_DELAY * u64::from(priority), ticket);
        let at = self.entries.partition_point(|entry| entry.order < order);
        let service = service.clone();
        self.entries.insert(at, LineEntry { order, service });
        ticket
    }

    /// Removes a call, served or not.
    pub fn leave(&mut self, ticket: LineTicket) {
        self.entries.retain(|entry| entry.order.1 != ticket);
    }

    /// Call of a service that is served next.
    pub fn head(&self, service: &ServiceName) -> Option<LineTicket> {
        let found = self.entries.iter().find(|entry| entry.service == *service);
        found.map(|entry| entry.order.1)
    }

    /// Calls of a service that wait.
    pub fn count(&self, service: &ServiceName) -> usize {
        let waiting = self.entries.iter();
        waiting.filter(|entry| entry.service == *service).count()
    }

    /// Services for which calls wait.
    pub fn services(&self) -> Vec<ServiceName> {
        let mut names: Vec<_> = self.entries.iter().map(|entry| &entry.service).collect();
        names.sort();
        names.dedup();
        names.into_iter().cloned().collect()
    }
}
