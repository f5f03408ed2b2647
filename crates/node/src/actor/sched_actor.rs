use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::{
    ErrorKind, EventKind, GenerationId, IncarnationNumber, RequestId, TargetName, TimeSpan,
    TokenCount, WorkspaceName,
};
use calls::{
    BreakerPolicy, CircuitBreaker, CrashLimits, CrashMessage, CrashPrint, CrashTable, CrashVerdict,
    RetryBudget, TargetDeath,
};
use sched::{FinishState, LoadReport, PeerDigest, RoutePolicy, SchedAction, TargetInfo, WorkItem};
use tokio::sync::{mpsc, oneshot};
use xtra::{Context, Handler};

use super::CallPlacement;
use crate::{EngineClient, EventJournal, SystemClock};

/// What the scheduling actor wants sent to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SchedOutput {
    /// Send the digest to the peers of the domain.
    Publish(PeerDigest),
    /// Read the load of a target now.
    Probe(TargetName),
    /// Tell the peers of the domain about a marked request.
    Crash(CrashMessage),
}

struct RunningCall {
    target: TargetName,
    print: CrashPrint,
    sent: bool,
    place: Option<(SocketAddr, GenerationId)>,
}

struct WaitingCall {
    print: CrashPrint,
    reply: oneshot::Sender<CallPlacement>,
}

/// Owns the routing policy, the retry budgets, the circuit breakers and the crash table.
#[derive(xtra::Actor)]
pub struct SchedActor {
    clock: SystemClock,
    journal: EventJournal,
    engine: Arc<dyn EngineClient>,
    policy: Box<dyn RoutePolicy>,
    output: mpsc::Sender<SchedOutput>,
    waiting: BTreeMap<RequestId, WaitingCall>,
    running: BTreeMap<RequestId, RunningCall>,
    workspace_budgets: BTreeMap<WorkspaceName, RetryBudget>,
    target_budgets: BTreeMap<TargetName, RetryBudget>,
    breakers: BTreeMap<TargetName, CircuitBreaker>,
    crashes: CrashTable,
    actions: Vec<SchedAction>,
}

/// Asks for a target.
pub struct SubmitCall {
    pub item: WorkItem,
    pub print: CrashPrint,
    pub retry: bool,
    pub reply: oneshot::Sender<CallPlacement>,
}

/// Takes a waiting call back.
pub struct WithdrawCall {
    pub request: RequestId,
}

/// Notes that a call is about to reach its target.
pub struct NoteSent {
    pub request: RequestId,
}

/// Notes where a call runs.
pub struct AdmitCall {
    pub request: RequestId,
    pub address: SocketAddr,
    pub generation: GenerationId,
}

/// Notes the tokens produced so far.
pub struct ProgressCall {
    pub request: RequestId,
    pub produced: TokenCount,
}

/// Notes the end of a call at its target.
pub struct FinishCall {
    pub request: RequestId,
    pub state: FinishState,
}

/// Notes a failure by the fault of a target.
pub struct NoteTargetFailure {
    pub target: TargetName,
    pub died: Option<IncarnationNumber>,
}

/// Takes what a peer tells of marked requests.
pub struct TakeCrash {
    pub message: CrashMessage,
}

/// Replaces the known targets.
pub struct TakeTargets {
    pub targets: Vec<TargetInfo>,
}

/// Takes a load report.
pub struct TakeReport {
    pub report: LoadReport,
}

/// Takes a digest of a peer.
pub struct TakeDigest {
    pub digest: PeerDigest,
}

/// Lets time pass.
pub struct PassTime;

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

    fn carry_out(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.drain_actions(&mut actions);
        for action in actions.drain(..) {
            self.carry_out_one(action);
        }
        self.actions = actions;
    }

    fn carry_out_one(&mut self, action: SchedAction) {
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

    fn dispatch(&mut self, request: RequestId, target: TargetName, priority: sched::WorkPriority) {
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
                .on_finished(now, &request, FinishState::Cancelled);
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
            self.end_call(&request, FinishState::Cancelled);
        }
    }

    fn tell_peers(&self, messages: impl IntoIterator<Item = CrashMessage>) {
        for message in messages {
            self.send_out(SchedOutput::Crash(message));
        }
    }

    fn refuse(&mut self, request: &RequestId, kind: ErrorKind, retry_after: TimeSpan) {
        let retry_after = Some(retry_after);
        if let Some(waiting) = self.waiting.remove(request) {
            // A caller that went away needs no answer.
            let _ = waiting
                .reply
                .send(CallPlacement::Refuse { kind, retry_after });
        }
    }

    fn change_priority(&self, request: &RequestId, priority: sched::WorkPriority) {
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

    fn send_out(&self, output: SchedOutput) {
        // Digests and probes are sent again soon, so a full queue may drop them.
        let _ = self.output.try_send(output);
    }

    fn end_call(&mut self, request: &RequestId, state: FinishState) {
        let now = self.clock.now();
        let Some(call) = self.running.remove(request) else {
            return;
        };
        self.policy.on_finished(now, request, state);
        if matches!(state, FinishState::NotAdmitted | FinishState::Failed) {
            // A target that starts to leave tells it first by refusing work.
            self.send_out(SchedOutput::Probe(call.target.clone()));
        }
        if call.sent {
            let left = self.crashes.on_left(call.print, &call.target);
            self.tell_peers(left);
        }
        if state == FinishState::Complete {
            let cleared = self.crashes.on_completed(call.print);
            self.tell_peers(cleared);
        }
        let breaker = self.breakers.get_mut(&call.target);
        let closed = match (state, breaker) {
            (FinishState::Complete | FinishState::NotAdmitted, Some(breaker)) => {
                breaker.on_success()
            }
            _ => false,
        };
        if closed {
            self.journal
                .note(EventKind::BreakerClosed, call.target.as_str());
        }
    }

    fn fail_target(&mut self, target: TargetName, died: Option<IncarnationNumber>) {
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

    fn mark_crash(&mut self, death: TargetDeath) {
        let now = self.clock.now();
        let marks = self.crashes.on_target_died(now, death.clone());
        if !marks.is_empty() {
            let detail = format!("{}: {} requests", death.target, marks.len());
            self.journal.note(EventKind::CrashMarked, detail);
        }
        self.tell_peers(marks);
    }

    /// Refuses a request that crashed its targets, and isolates one that may have.
    fn judge_crash(&mut self, item: &mut WorkItem, print: CrashPrint) -> Option<CallPlacement> {
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
    fn exclude_broken(&self, item: &mut WorkItem) {
        let now = self.clock.now();
        for (target, breaker) in &self.breakers {
            let broken = !breaker.would_pass(now);
            if broken && !item.excluded.contains(target) {
                item.excluded.push(target.clone());
            }
        }
    }

    /// A retry needs a token of its workspace and of the target that failed last.
    fn allows_retry(&mut self, item: &WorkItem) -> bool {
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

impl Handler<SubmitCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: SubmitCall, _: &mut Context<Self>) {
        let SubmitCall {
            mut item,
            print,
            retry,
            reply,
        } = message;
        if let Some(refusal) = self.judge_crash(&mut item, print) {
            // A caller that went away needs no answer.
            let _ = reply.send(refusal);
            return;
        }
        if retry && !self.allows_retry(&item) {
            // A caller that went away needs no answer.
            let _ = reply.send(CallPlacement::RetryRefused);
            return;
        }
        let now = self.clock.now();
        if !retry {
            let budget = self.workspace_budgets.entry(item.workspace.clone());
            budget
                .or_insert_with(|| RetryBudget::new(now))
                .on_request(now);
        }
        self.exclude_broken(&mut item);
        let waiting = WaitingCall { print, reply };
        self.waiting.insert(item.request.clone(), waiting);
        self.policy.submit(now, item);
        self.carry_out();
    }
}

impl Handler<WithdrawCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: WithdrawCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        if self.waiting.remove(&message.request).is_some() {
            self.policy.withdraw(now, &message.request);
        } else {
            self.end_call(&message.request, FinishState::Cancelled);
        }
        self.carry_out();
    }
}

impl Handler<NoteSent> for SchedActor {
    type Return = ();

    /// Only what was sent can have crashed a target.
    async fn handle(&mut self, message: NoteSent, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(call) = self.running.get_mut(&message.request) else {
            return;
        };
        call.sent = true;
        let placed = self.crashes.on_placed(now, call.print, &call.target);
        self.tell_peers(placed);
    }
}

impl Handler<AdmitCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: AdmitCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(call) = self.running.get_mut(&message.request) {
            call.place = Some((message.address, message.generation));
            self.policy.on_admitted(now, &message.request);
        }
        self.carry_out();
    }
}

impl Handler<ProgressCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: ProgressCall, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy
            .on_progress(now, &message.request, message.produced);
        self.carry_out();
    }
}

impl Handler<FinishCall> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: FinishCall, _: &mut Context<Self>) {
        self.end_call(&message.request, message.state);
        self.carry_out();
    }
}

impl Handler<NoteTargetFailure> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: NoteTargetFailure, _: &mut Context<Self>) {
        self.fail_target(message.target, message.died);
    }
}

impl Handler<TakeCrash> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeCrash, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.crashes.on_message(now, message.message);
    }
}

impl Handler<TakeTargets> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeTargets, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_targets(now, &message.targets);
        let known = |name: &TargetName| {
            let found = message
                .targets
                .binary_search_by(|info| info.target.cmp(name));
            found.is_ok()
        };
        self.breakers.retain(|name, _| known(name));
        self.target_budgets.retain(|name, _| known(name));
        self.carry_out();
    }
}

impl Handler<TakeReport> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeReport, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_report(now, message.report);
        self.carry_out();
    }
}

impl Handler<TakeDigest> for SchedActor {
    type Return = ();

    async fn handle(&mut self, message: TakeDigest, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_digest(now, message.digest);
        self.carry_out();
    }
}

impl Handler<PassTime> for SchedActor {
    type Return = ();

    async fn handle(&mut self, _: PassTime, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.policy.on_tick(now);
        self.crashes.expire(now);
        self.carry_out();
    }
}
