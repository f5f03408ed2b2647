use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::{
    ErrorKind, EventKind, GenerationId, IncarnationNumber, RequestId, TargetName, TimeSpan,
    WorkspaceName,
};
use calls::{
    BreakerPolicy, CircuitBreaker, CrashLimits, CrashMessage, CrashTable, CrashVerdict,
    RequestFingerprint, RetryBudget, TargetDeath,
};
use sched::{DispatchOutcome, RoutePolicy, SchedAction, WorkItem};
use tokio::sync::{mpsc, oneshot};

use super::SchedOutput;
use crate::actor::CallPlacement;
use crate::{EngineClient, EventJournal, SystemClock};

/// A call that was dispatched to a target and has not ended.
pub struct RunningCall {
    pub target: TargetName,
    pub fingerprint: RequestFingerprint,
    /// Whether the request may have reached the target.
    pub sent: bool,
    /// Address and generation once the target has admitted the call.
    pub location: Option<(SocketAddr, GenerationId)>,
}

/// A call that waits in the queue of the policy for a target.
pub struct WaitingCall {
    pub fingerprint: RequestFingerprint,
    pub reply: oneshot::Sender<CallPlacement>,
}

/// Actor that decides which target each call is sent to.
///
/// Owns the routing policy, the retry budgets, the circuit breakers and the crash table.
#[derive(xtra::Actor)]
pub struct SchedActor {
    pub(super) clock: SystemClock,
    pub(super) journal: EventJournal,
    pub(super) engine: Arc<dyn EngineClient>,
    pub(super) policy: Box<dyn RoutePolicy>,
    pub(super) output: mpsc::Sender<SchedOutput>,
    pub(super) waiting: BTreeMap<RequestId, WaitingCall>,
    pub(super) running: BTreeMap<RequestId, RunningCall>,
    pub(super) workspace_budgets: BTreeMap<WorkspaceName, RetryBudget>,
    pub(super) target_budgets: BTreeMap<TargetName, RetryBudget>,
    pub(super) breakers: BTreeMap<TargetName, CircuitBreaker>,
    pub(super) crashes: CrashTable,
    /// Buffer that is reused to drain the actions of the policy.
    pub(super) actions: Vec<SchedAction>,
}

impl SchedActor {
    /// Creates the actor; messages for the rest of the node and for peers go to `output`.
    pub fn new(
        clock: SystemClock,
        journal: EventJournal,
        engine: Arc<dyn EngineClient>,
        policy: Box<dyn RoutePolicy>,
        output: mpsc::Sender<SchedOutput>,
    ) -> Self {
        Self {
            clock,
            journal,
            engine,
            policy,
            output,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            workspace_budgets: BTreeMap::new(),
            target_budgets: BTreeMap::new(),
            breakers: BTreeMap::new(),
            crashes: CrashTable::new(CrashLimits::default()),
            actions: Vec::new(),
        }
    }

    /// Executes the actions that the policy has decided on.
    pub(super) fn execute_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.drain_actions(&mut actions);
        for action in actions.drain(..) {
            self.execute_action(action);
        }
        self.actions = actions;
    }

    pub(super) fn execute_action(&mut self, action: SchedAction) {
        match action {
            SchedAction::Dispatch {
                request,
                target,
                priority,
            } => self.dispatch(request, target, priority),
            SchedAction::Refuse {
                request,
                kind,
                retry_after,
            } => self.refuse(&request, kind, retry_after),
            SchedAction::SetPriority { request, priority } => {
                self.change_priority(&request, priority);
            }
            SchedAction::Publish(digest) => self.send_output(SchedOutput::Publish(digest)),
            SchedAction::Probe(target) => self.send_output(SchedOutput::Probe(target)),
        }
    }

    /// Replies to a waiting call with its target; ends the call if the caller has gone.
    pub(super) fn dispatch(
        &mut self,
        request: RequestId,
        target: TargetName,
        priority: sched::RequestPriority,
    ) {
        let now = self.clock.now();
        if let Some(breaker) = self.breakers.get_mut(&target) {
            breaker.try_admit(now);
        }
        let budget = self.target_budgets.entry(target.clone());
        budget
            .or_insert_with(|| RetryBudget::new(now))
            .on_request(now);
        let Some(waiting) = self.waiting.remove(&request) else {
            self.policy
                .on_finished(now, &request, DispatchOutcome::Cancelled);
            return;
        };
        let fingerprint = waiting.fingerprint;
        let call = RunningCall {
            target: target.clone(),
            fingerprint,
            sent: false,
            location: None,
        };
        self.running.insert(request.clone(), call);
        let placement = CallPlacement::Dispatch { target, priority };
        if waiting.reply.send(placement).is_err() {
            self.end_call(&request, DispatchOutcome::Cancelled);
        }
    }

    pub(super) fn send_crash_messages(&self, messages: impl IntoIterator<Item = CrashMessage>) {
        for message in messages {
            self.send_output(SchedOutput::Crash(message));
        }
    }

    pub(super) fn refuse(&mut self, request: &RequestId, kind: ErrorKind, retry_after: TimeSpan) {
        let retry_after = Some(retry_after);
        if let Some(waiting) = self.waiting.remove(request) {
            // Sending fails if the caller has disconnected, which needs no answer.
            let _ = waiting
                .reply
                .send(CallPlacement::Refuse { kind, retry_after });
        }
    }

    /// Sends a new priority to the engine that runs the call, if it has admitted it.
    pub(super) fn change_priority(&self, request: &RequestId, priority: sched::RequestPriority) {
        let location = self
            .running
            .get(request)
            .and_then(|call| call.location.clone());
        let Some((address, generation)) = location else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move {
            // A priority is only a hint, and the next change is sent in any case.
            let _ = engine.set_priority(address, generation, priority).await;
        });
    }

    pub(super) fn send_output(&self, output: SchedOutput) {
        // Dropped if the channel is full: digests and probes are repeated soon.
        let _ = self.output.try_send(output);
    }

    /// Removes a running call and tells the policy, the crash table and the breaker its outcome.
    pub(super) fn end_call(&mut self, request: &RequestId, outcome: DispatchOutcome) {
        let now = self.clock.now();
        let Some(call) = self.running.remove(request) else {
            return;
        };
        self.policy.on_finished(now, request, outcome);
        if matches!(
            outcome,
            DispatchOutcome::NotAdmitted | DispatchOutcome::Failed
        ) {
            // A target that is about to leave shows it first by refusing work.
            self.send_output(SchedOutput::Probe(call.target.clone()));
        }
        if call.sent {
            let left = self.crashes.on_left(call.fingerprint, &call.target);
            self.send_crash_messages(left);
        }
        if outcome == DispatchOutcome::Complete {
            let cleared = self.crashes.on_completed(call.fingerprint);
            self.send_crash_messages(cleared);
        }
        let breaker = self.breakers.get_mut(&call.target);
        let closed = match (outcome, breaker) {
            (DispatchOutcome::Complete | DispatchOutcome::NotAdmitted, Some(breaker)) => {
                breaker.on_success()
            }
            _ => false,
        };
        if closed {
            self.journal
                .record(EventKind::BreakerClosed, call.target.as_str());
        }
    }

    /// Counts a failure for the breaker of a target and records its death if `died` is known.
    pub(super) fn on_target_failed(&mut self, target: TargetName, died: Option<IncarnationNumber>) {
        let now = self.clock.now();
        if let Some(incarnation) = died {
            let target = target.clone();
            self.record_target_death(TargetDeath {
                target,
                incarnation,
            });
        }
        let breaker = self.breakers.entry(target.clone());
        let breaker = breaker.or_insert_with(|| CircuitBreaker::new(BreakerPolicy::default()));
        if breaker.on_failure(now) {
            self.journal
                .record(EventKind::BreakerOpened, target.as_str());
        }
    }

    /// Marks the requests that ran at a target when it died, and tells the peers.
    pub(super) fn record_target_death(&mut self, death: TargetDeath) {
        let now = self.clock.now();
        let marks = self.crashes.on_target_died(now, death.clone());
        if !marks.is_empty() {
            let detail = format!("{}: {} requests", death.target, marks.len());
            self.journal.record(EventKind::CrashMarked, detail);
        }
        self.send_crash_messages(marks);
    }

    /// Refuses a request that has crashed its targets. One that may have done so is isolated: it is
    /// kept away from targets where another suspect request runs.
    pub(super) fn apply_crash_verdict(
        &mut self,
        item: &mut WorkItem,
        fingerprint: RequestFingerprint,
    ) -> Option<CallPlacement> {
        let now = self.clock.now();
        match self.crashes.verdict(now, fingerprint) {
            CrashVerdict::Unrestricted => None,
            CrashVerdict::Refused { retry_after } => {
                let kind = EventKind::CrashCondemned;
                self.journal.record_for_request(kind, &item.request, "");
                Some(CallPlacement::Refuse {
                    kind: ErrorKind::CrashSuspect,
                    retry_after: Some(retry_after),
                })
            }
            CrashVerdict::Isolated => {
                let shared = item.candidates.iter();
                let shared = shared.filter(|name| !self.crashes.allows(now, fingerprint, name));
                item.excluded.extend(shared.cloned());
                None
            }
        }
    }

    /// Excludes the targets whose breakers are open; there are few of them at any time.
    pub(super) fn exclude_open_breakers(&self, item: &mut WorkItem) {
        let now = self.clock.now();
        for (target, breaker) in &self.breakers {
            let open = !breaker.would_admit(now);
            if open && !item.excluded.contains(target) {
                item.excluded.push(target.clone());
            }
        }
    }

    /// Takes a retry token from the budget of the workspace and, if known, from that of the target
    /// that failed last; false if a budget is used up.
    pub(super) fn take_retry_token(&mut self, item: &WorkItem) -> bool {
        let now = self.clock.now();
        let workspace = self.workspace_budgets.entry(item.workspace.clone());
        let workspace = workspace.or_insert_with(|| RetryBudget::new(now));
        let Some(failed) = item.excluded.last() else {
            return workspace.try_take(now);
        };
        let target = self.target_budgets.entry(failed.clone());
        let target = target.or_insert_with(|| RetryBudget::new(now));
        workspace.try_take_both(target, now)
    }
}
