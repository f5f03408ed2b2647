use base::{ClockTime, ServiceName, TimeSpan};

/// Longest time after which a refused caller is told to return.
const RETURN_LIMIT: TimeSpan = TimeSpan::from_secs(30);

/// Times at which the callers refused by this node are told to return to each service, so that they
/// return at the rate at which the targets of the service accept calls.
///
/// ```
/// use base::{ClockTime, TimeSpan};
/// use entry::ReturnSchedule;
/// let service = "orders".parse().unwrap();
/// let mut schedule = ReturnSchedule::default();
/// let mut next = || {
///     let (first, interval) = (TimeSpan::new(100), TimeSpan::new(500));
///     schedule.next_return(ClockTime::new(1_000), &service, first, interval)
/// };
/// assert_eq!([next(), next(), next()], [100, 600, 1_100].map(TimeSpan::new));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// Last return of each service, sorted by service.
    last_returns: Vec<(ServiceName, ClockTime)>,
}

impl ReturnSchedule {
    /// Time after which the next refused caller of a service may return: `first` from now, or
    /// `interval` after the caller before it.
    pub fn next_return(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        first: TimeSpan,
        interval: TimeSpan,
    ) -> TimeSpan {
        let found = self
            .last_returns
            .binary_search_by(|(known, _)| known.cmp(service));
        let at = match found {
            Ok(at) => {
                let last = self.last_returns[at].1;
                let next = (last + interval).max(now + first).min(now + RETURN_LIMIT);
                self.last_returns[at].1 = next;
                next
            }
            Err(index) => {
                let next = now + first.min(RETURN_LIMIT);
                self.last_returns.insert(index, (service.clone(), next));
                next
            }
        };
        at - now
    }
}
