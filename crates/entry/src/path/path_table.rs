use base::{ClockTime, ServiceName, TargetName};

use super::{PathChange, ServicePath};

/// Paths of this node to the targets of all services.
///
/// ```
/// use base::{ClockTime, ServiceName, TargetName};
/// use entry::PathChange;
/// let service: ServiceName = "orders".parse().unwrap();
/// let target = |name: &str| -> TargetName { name.parse().unwrap() };
/// let (began_at, now) = (ClockTime::new(10), ClockTime::new(260));
/// let mut paths = entry::PathTable::default();
/// let mut fail = |name| paths.record_failure(now, &service, &target(name), began_at, 8);
/// assert_eq!(fail("t1"), PathChange::Unchanged);
/// assert_eq!(fail("t2"), PathChange::Doubted);
/// assert_eq!(fail("t3"), PathChange::Lost);
/// assert!(paths.is_lost(&service));
/// assert!(paths.record_connection(ClockTime::new(900), &service));
/// assert!(!paths.is_lost(&service));
/// ```
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    /// Sorted by service.
    paths: Vec<ServicePath>,
}

impl PathTable {
    /// Records a failed connection attempt; see [`ServicePath::record_failure`].
    pub fn record_failure(
        &mut self,
        now: ClockTime,
        service: &ServiceName,
        target: &TargetName,
        began_at: ClockTime,
        open: usize,
    ) -> PathChange {
        self.path_mut(service)
            .record_failure(now, target, began_at, open)
    }

    /// Records a connection; returns whether the path is back by this.
    pub fn record_connection(&mut self, now: ClockTime, service: &ServiceName) -> bool {
        self.path_mut(service).record_connection(now)
    }

    /// Whether the path to a service is lost.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.path(service).is_some_and(ServicePath::is_lost)
    }

    /// Whether connections to a target have failed since one to any target of its service was made.
    pub fn has_failed_at(&self, service: &ServiceName, target: &TargetName) -> bool {
        let path = self.path(service);
        path.is_some_and(|path| path.has_failed_at(target))
    }

    /// Number of targets of a service to which connections have failed since one to any of them was made.
    pub fn failed_count(&self, service: &ServiceName) -> usize {
        self.path(service).map_or(0, ServicePath::failed_count)
    }

    /// Services to which the path is lost, sorted.
    pub fn lost_services(&self) -> Vec<ServiceName> {
        let lost = self.paths.iter().filter(|path| path.is_lost());
        lost.map(|path| path.service().clone()).collect()
    }

    /// Services of which one target has to be tried now.
    pub fn take_trials(&mut self, now: ClockTime) -> Vec<ServiceName> {
        let due = self.paths.iter_mut().filter_map(|path| {
            let is_due = path.take_trial(now);
            is_due.then(|| path.service().clone())
        });
        due.collect()
    }

    fn path(&self, service: &ServiceName) -> Option<&ServicePath> {
        self.find(service).ok().map(|at| &self.paths[at])
    }

    fn path_mut(&mut self, service: &ServiceName) -> &mut ServicePath {
        let at = self.find(service).unwrap_or_else(|at| {
            self.paths.insert(at, ServicePath::new(service.clone()));
            at
        });
        &mut self.paths[at]
    }

    fn find(&self, service: &ServiceName) -> Result<usize, usize> {
        self.paths
            .binary_search_by(|path| path.service().cmp(service))
    }
}
