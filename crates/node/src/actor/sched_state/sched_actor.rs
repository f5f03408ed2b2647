use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::{
    ErrorKind, EventKind, GenerationId, IncarnationNumber, RequestId, TargetName, TimeSpan,
    WorkspaceName,
};
use calls::{
    BreakerPolicy, CircuitBreaker, CrashLimits, CrashMessage, CrashPrint, CrashTable, CrashVerdict,
    RetryBudget, TargetDeath,
};
use sched::{DispatchOutcome, RoutePolicy, SchedAction, WorkItem};
use tokio::sync::{mpsc, oneshot};

use super::SchedOutput;
use crate::actor::CallPlacement;
use crate::{EngineClient, EventJournal, SystemClock};

/// A call that has a target.
pub struct RunningCall {
    pub target: TargetName,
    pub print: CrashPrint,
    pub sent: bool,
    pub place: Option<(SocketAddr, GenerationId)>,
}

/// A call that waits for a target.
pub struct WaitingCall {
    pub print: CrashPrint,
    pub reply: oneshot::Sender<CallPlacement>,
}

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
    pub(super) actions: Vec<SchedAction>,
}

impl SchedActor {
    /// Creates the actor; what concerns other processes goes to `output`.
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

    pub(super) fn carry_out(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.drain_actions(&mut actions);
        for action in actions.drain(..) {
            self.carry_out_one(action);
        }
        self.actions = actions;
    }

    pub(super) fn carry_out_one(&mut self, action: SchedAction) {
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
            SchedAction::Publish(digest) => self.send_out(SchedOutput::Publish(digest)),
            SchedAction::Probe(target) => self.send_out(SchedOutput::Probe(target)),
        }
    }

    pub(super) fn dispatch(
        &mut self,
        request: RequestId,
        target: TargetName,
        priority: sched::RequestPriority,
    ) {
        let now = self.clock.now();
        if let Some(breaker) = self.breakers.get_mut(&target) {
            breaker.try_pass(now);
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
        let print = waiting.print;
        let call = RunningCall {
            target: target.clone(),
            print,
            sent: false,
            place: None,
        };
        self.running.insert(request.clone(), call);
        let placement = CallPlacement::Dispatch { target, priority };
        if waiting.reply.send(placement).is_err() {
            self.end_call(&request, DispatchOutcome::Cancelled);
        }
    }

    pub(super) fn tell_peers(&self, messages: impl IntoIterator<Item = CrashMessage>) {
        for message in messages {
            self.send_out(SchedOutput::Crash(message));
        }
    }

    pub(super) fn refuse(&mut self, request: &RequestId, kind: ErrorKind, retry_after: TimeSpan) {
        let retry_after = Some(retry_after);
        if let Some(waiting) = self.waiting.remove(request) {
            // A caller that went away needs no answer.
            let _ = waiting
                .reply
                .send(CallPlacement::Refuse { kind, retry_after });
        }
    }

    pub(super) fn change_priority(&self, request: &RequestId, priority: sched::RequestPriority) {
        let place = self
            .running
            .get(request)
            .and_then(|call| call.place.clone());
        let Some((address, generation)) = place else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move {
            // A priority is a hint; the next change is sent anyway.
            let _ = engine.set_priority(address, generation, priority).await;
        });
    }

    pub(super) fn send_out(&self, output: SchedOutput) {
        // Digests and probes are sent again soon, so a full queue may drop them.
        let _ = self.output.try_send(output);
    }

    pub(super) fn end_call(&mut self, request: &RequestId, state: DispatchOutcome) {
        let now = self.clock.now();
        let Some(call) = self.running.remove(request) else {
            return;
        };
        self.policy.on_finished(now, request, state);
        if matches!(
            state,
            DispatchOutcome::NotAdmitted | DispatchOutcome::Failed
        ) {
            // A target that starts to leave tells it first by refusing work.
            self.send_out(SchedOutput::Probe(call.target.clone()));
        }
        if call.sent {
            let left = self.crashes.on_left(call.print, &call.target);
            self.tell_peers(left);
        }
        if state == DispatchOutcome::Complete {
            let cleared = self.crashes.on_completed(call.print);
            self.tell_peers(cleared);
        }
        let breaker = self.breakers.get_mut(&call.target);
        let closed = match (state, breaker) {
            (DispatchOutcome::Complete | DispatchOutcome::NotAdmitted, Some(breaker)) => {
                breaker.on_success()
            }
            _ => false,
        };
        if closed {
            self.journal
                .note(EventKind::BreakerClosed, call.target.as_str());
        }
    }

    pub(super) fn fail_target(&mut self, target: TargetName, died: Option<IncarnationNumber>) {
        let now = self.clock.now();
        if let Some(incarnation) = died {
            let target = target.clone();
            self.mark_crash(TargetDeath {
                target,
                incarnation,
            });
        }
        let breaker = self.breakers.entry(target.clone());
        let breaker = breaker.or_insert_with(|| CircuitBreaker::new(BreakerPolicy::default()));
        if breaker.on_failure(now) {
            self.journal.note(EventKind::BreakerOpened, target.as_str());
        }
    }

    pub(super) fn mark_crash(&mut self, death: TargetDeath) {
        let now = self.clock.now();
        let marks = self.crashes.on_target_died(now, death.clone());
        if !marks.is_empty() {
            let detail = format!("{}: {} requests", death.target, marks.len());
            self.journal.note(EventKind::CrashMarked, detail);
        }
        self.tell_peers(marks);
    }

    /// Refuses a request that crashed its targets, and isolates one that may have.
    pub(super) fn judge_crash(
        &mut self,
        item: &mut WorkItem,
        print: CrashPrint,
    ) -> Option<CallPlacement> {
        let now = self.clock.now();
        match self.crashes.judge(now, print) {
            CrashVerdict::Free => None,
            CrashVerdict::Condemned { retry_after } => {
                let kind = EventKind::CrashCondemned;
                self.journal.note_request(kind, &item.request, "");
                Some(CallPlacement::Refuse {
                    kind: ErrorKind::CrashSuspect,
                    retry_after: Some(retry_after),
                })
            }
            CrashVerdict::Isolated => {
                let shared = item.candidates.iter();
                let shared = shared.filter(|name| !self.crashes.allows(now, print, name));
                item.excluded.extend(shared.cloned());
                None
            }
        }
    }

    /// Excludes the targets whose breakers are open; there are few of them at any time.
    pub(super) fn exclude_broken(&self, item: &mut WorkItem) {
        let now = self.clock.now();
        for (target, breaker) in &self.breakers {
            let broken = !breaker.would_pass(now);
            if broken && !item.excluded.contains(target) {
                item.excluded.push(target.clone());
            }
        }
    }

    /// A retry needs a token of its workspace and of the target that failed last.
    pub(super) fn allows_retry(&mut self, item: &WorkItem) -> bool {
        let now = self.clock.now();
        let workspace = self.workspace_budgets.entry(item.workspace.clone());
        let workspace = workspace.or_insert_with(|| RetryBudget::new(now));
        let Some(failed) = item.excluded.last() else {
            return workspace.take(now);
        };
        let target = self.target_budgets.entry(failed.clone());
        let target = target.or_insert_with(|| RetryBudget::new(now));
        workspace.take_both(target, now)
    }
}
