use base::{ClockTime, ServiceName, TargetName, TimeSpan};

/// Number of targets to which connections have to fail in a row before the path counts as lost, if the service
/// has so many. One or two may have died.
const FAILED_TARGETS: usize = 3;
/// The same number for services with fewer targets, and the one from which on the path is in doubt.
const DOUBTED_TARGETS: usize = 2;
/// Time from the loss of the path until the first trial.
const FIRST_TRIAL_PAUSE: TimeSpan = TimeSpan::new(150);
/// Longest time between two trials.
const LONGEST_TRIAL_PAUSE: TimeSpan = TimeSpan::from_secs(1);
/// A path that is lost again within this time after its return is tried as rarely as before.
const FLAP_TIME: TimeSpan = TimeSpan::from_secs(5);

/// What a failed connection attempt changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// Nothing.
    Unchanged,
    /// The path is in doubt, and a connection to another target would tell.
    Doubted,
    /// The path is lost.
    Lost,
}

/// Path of this node to the targets of one service, judged by its connection attempts.
///
/// The path is lost once attempts to several targets have failed and none succeeded meanwhile. From then
/// on, only trials show whether it is back.
#[derive(Clone, Debug)]
pub struct ServicePath {
    service: ServiceName,
    /// When a connection to a target of the service was last made.
    connected_at: Option<ClockTime>,
    /// Targets to which connections have failed since then, sorted.
    failed: Vec<TargetName>,
    is_lost: bool,
    returned_at: Option<ClockTime>,
    next_trial_at: ClockTime,
    trial_pause: TimeSpan,
}

impl ServicePath {
    /// Creates the path to a service to which no connection was tried yet.
    ///
    /// ```
    /// let path = entry::ServicePath::new("orders".parse().unwrap());
    /// assert!(!path.is_lost());
    /// ```
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            connected_at: None,
            failed: Vec::new(),
            is_lost: false,
            returned_at: None,
            next_trial_at: ClockTime::ZERO,
            trial_pause: FIRST_TRIAL_PAUSE,
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Whether the path is lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Number of targets to which connections have failed since one to any target was made.
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// Whether connections to a target have failed since one to any target was made.
    pub fn has_failed_at(&self, target: &TargetName) -> bool {
        self.failed.binary_search(target).is_ok()
    }

    /// Records that a connection attempt, which began at `began_at`, failed; `open` targets of the service take
    /// calls.
    pub fn record_failure(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        began_at: ClockTime,
        open: usize,
    ) -> PathChange {
        // An attempt that began before another one succeeded tells only of its target.
        if self.connected_at.is_some_and(|at| began_at < at) {
            return PathChange::Unchanged;
        }
        let Err(at) = self.failed.binary_search(target) else {
            return PathChange::Unchanged;
        };
        self.failed.insert(at, target.clone());
        let failed = self.failed.len();
        if self.is_lost || failed < DOUBTED_TARGETS {
            return PathChange::Unchanged;
        }
        if failed < FAILED_TARGETS.min(open) {
            return PathChange::Doubted;
        }
        let returned_at = self.returned_at;
        if returned_at.is_none_or(|at| now.since(at) >= FLAP_TIME) {
            self.trial_pause = FIRST_TRIAL_PAUSE;
        }
        self.is_lost = true;
        self.next_trial_at = now + self.trial_pause;
        PathChange::Lost
    }

    /// Records that a connection was made; returns whether the path is back by this.
    pub fn record_connection(&mut self, now: ClockTime) -> bool {
        self.connected_at = Some(now);
        self.failed.clear();
        let has_returned = std::mem::take(&mut self.is_lost);
        if has_returned {
            self.returned_at = Some(now);
        }
        has_returned
    }

    /// Whether a trial of the lost path is due; the next one is due later then.
    pub fn take_trial(&mut self, now: ClockTime) -> bool {
        if !self.is_lost || now < self.next_trial_at {
            return false;
        }
        self.trial_pause = (self.trial_pause * 2).min(LONGEST_TRIAL_PAUSE);
        self.next_trial_at = now + self.trial_pause;
        true
    }
}
