use std::sync::{Arc, Mutex, MutexGuard};

use base::{ClockTime, ErrorKind, RequestId, TargetName, TimeSpan, TokenCount};
use sched::{
    DispatchOutcome, LoadReport, PeerDigest, RequestPriority, RoutePolicy, SchedAction, TargetInfo,
    WorkItem,
};

/// What a policy was called with.
#[derive(Debug, Default)]
pub struct PolicyLog {
    pub targets: Vec<TargetInfo>,
    /// Weights of the first target, one entry for each list of targets.
    pub weights: Vec<u64>,
    pub reports: usize,
    pub submitted: Vec<WorkItem>,
    pub withdrawn: Vec<RequestId>,
    pub finished: Vec<(RequestId, DispatchOutcome)>,
}

/// Policy that sends each request to the first candidate that is not excluded; a request whose id
/// starts with `wait` waits forever.
#[derive(Clone, Default)]
pub struct FakePolicy {
    log: Arc<Mutex<PolicyLog>>,
    actions: Vec<SchedAction>,
}

impl FakePolicy {
    /// What the policy was called with so far.
    pub fn log(&self) -> MutexGuard<'_, PolicyLog> {
        self.log.lock().expect("no panic before")
    }
}

impl RoutePolicy for FakePolicy {
    fn on_targets(&mut self, _: ClockTime, targets: &[TargetInfo]) {
        let mut log = self.log();
        log.targets = targets.to_vec();
        log.weights
            .extend(targets.first().map(|info| info.weight_bytes.0));
    }

    fn on_report(&mut self, _: ClockTime, _: LoadReport) {
        self.log().reports += 1;
    }

    fn on_digest(&mut self, _: ClockTime, _: PeerDigest) {}

    fn submit(&mut self, _: ClockTime, item: WorkItem) {
        self.log().submitted.push(item.clone());
        if item.request.as_str().starts_with("wait") {
            return;
        }
        let mut open = item.candidates.iter();
        let target = open.find(|name| !item.excluded.contains(name));
        let request = item.request;
        self.actions.push(match target {
            Some(target) => SchedAction::Dispatch {
                request,
                target: target.clone(),
                priority: RequestPriority(3),
            },
            None => SchedAction::Refuse {
                request,
                kind: ErrorKind::NoTarget,
                retry_after: TimeSpan::from_secs(7),
            },
        });
    }

    fn withdraw(&mut self, _: ClockTime, request: &RequestId) {
        self.log().withdrawn.push(request.clone());
    }

    fn on_admitted(&mut self, _: ClockTime, request: &RequestId) {
        self.actions.push(SchedAction::SetPriority {
            request: request.clone(),
            priority: RequestPriority(9),
        });
    }

    fn on_progress(&mut self, _: ClockTime, _: &RequestId, _: TokenCount) {}

    fn on_finished(&mut self, _: ClockTime, request: &RequestId, state: DispatchOutcome) {
        self.log().finished.push((request.clone(), state));
    }

    fn on_cache_event(&mut self, _: ClockTime, _: &TargetName, _: u64, _: bool) {}

    fn on_tick(&mut self, _: ClockTime) {}

    fn drain_actions(&mut self, actions: &mut Vec<SchedAction>) {
        actions.append(&mut self.actions);
    }
}
