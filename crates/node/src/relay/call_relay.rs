use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{
    ClockTime, ErrorKind, EventKind, GenerationId, IncarnationNumber, RequestId, TargetName,
    TimeSpan, TokenCount,
};
use bytes::Bytes;
use calls::{
    AttemptState, CallAction, CallEvent, CallFailure, CallMachine, ConnectionMonitor,
    ConnectionNumber, MonitorPolicy, MonitorVerdict, ProbeOutcome,
};
use sched::{DispatchOutcome, RequestPriority};
use serde_json::Map;
use tokio::time::sleep;

use super::{AnswerWriter, CallJob, HeadOutcome, HeadWait, LeaveWatch, RelayParts, ResumeToken};
use crate::{
    CallPlacement, EngineCall, EngineClient, EngineConnection, EngineError, EngineEvent,
    EngineStream,
};

/// Tokens after which the policy is told how far a generation has come.
const PROGRESS_STEP: u64 = 16;
/// Longest wait for the response head of an engine, which answers as soon as it queues a call.
const HEAD_WAIT: TimeSpan = TimeSpan::from_secs(10);
/// Fresh connections on which a relay asks whether an engine died.
const DEATH_TRIES: usize = 10;
/// Pause between two of them.
const DEATH_PAUSE: Duration = Duration::from_millis(30);
/// Longest wait when nothing is due.
const IDLE_WAIT: TimeSpan = TimeSpan::from_secs(60);

/// What a relay has for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayStep {
    /// A part of a streamed answer.
    Chunk(Bytes),
    /// The end: the rest of a streamed answer, or a whole one.
    Finished(Bytes),
    /// The work goes on, but this caller gets an error now.
    Detached(CallFailure),
    /// The call failed.
    Failed(CallFailure),
    /// The engine refused the request as wrong.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the engine's answer.
        body: Bytes,
    },
}

enum LinkState {
    Closed,
    Open(Box<dyn EngineConnection>),
    Reading(EngineStream),
}

/// Whether the policy knows of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementState {
    None,
    Waiting,
    Placed,
}

/// Relays one generation: feeds the call machine and carries out its actions.
pub struct CallRelay {
    parts: Arc<RelayParts>,
    job: CallJob,
    machine: CallMachine,
    actions: VecDeque<CallAction>,
    scratch: Vec<CallAction>,
    link: LinkState,
    number: ConnectionNumber,
    watch: Option<ConnectionMonitor>,
    /// Run of the target that the current attempt was sent to.
    run: Option<IncarnationNumber>,
    timer: Option<ClockTime>,
    writer: AnswerWriter,
    placement: PlacementState,
    priority: RequestPriority,
    told: u64,
    delivered: u64,
    end_data: Option<Bytes>,
    rejected: Option<(u16, Bytes)>,
    /// The caller has its answer while the work goes on.
    detached: bool,
    /// The last attempt was cancelled before it began, to be run elsewhere.
    moved: bool,
    ended: bool,
}

impl CallRelay {
    /// Creates the relay of a job; nothing is sent before the first call of `next_step`.
    pub fn new(parts: Arc<RelayParts>, job: CallJob) -> Self {
        let mut machine = CallMachine::new(job.plan.clone());
        let mut scratch = Vec::with_capacity(4);
        machine.start(parts.clock.now(), &mut scratch);
        let mut writer = AnswerWriter::new(job.is_streamed());
        if let Some(point) = &job.plan.resume {
            let (target, generation) = (point.target.clone(), point.generation.clone());
            let workspace = &job.item.workspace;
            writer.set_token(&ResumeToken::new(
                &parts.resume,
                workspace,
                target,
                generation,
            ));
        }
        Self {
            parts,
            job,
            machine,
            actions: scratch.drain(..).collect(),
            scratch,
            link: LinkState::Closed,
            number: ConnectionNumber(0),
            watch: None,
            run: None,
            timer: None,
            writer,
            placement: PlacementState::None,
            priority: RequestPriority::default(),
            told: 0,
            delivered: 0,
            end_data: None,
            rejected: None,
            detached: false,
            moved: false,
            ended: false,
        }
    }

    /// Identifier of the request.
    pub fn request(&self) -> &RequestId {
        &self.job.plan.request
    }

    /// Returns the next part of the answer; `None` after the last one.
    pub async fn next_step(&mut self) -> Option<RelayStep> {
        while !self.ended {
            if let Some(step) = self.carry_out().await {
                return Some(step);
            }
            if self.ended {
                break;
            }
            if let Some(step) = self.read_link().await {
                return Some(step);
            }
        }
        None
    }

    fn feed(&mut self, event: CallEvent<'_>) {
        let now = self.parts.clock.now();
        self.machine.on_event(now, event, &mut self.scratch);
        self.actions.extend(self.scratch.drain(..));
    }

    /// Drops the timer of the connection attempt, which may still be queued; without a deadline
    /// nothing else would replace it, and it would end the wait for the response head.
    fn note_connected(&mut self, number: ConnectionNumber) {
        self.timer = None;
        self.actions
            .retain(|action| !matches!(action, CallAction::SetTimer { .. }));
        self.feed(CallEvent::Connected { connection: number });
    }

    async fn carry_out(&mut self) -> Option<RelayStep> {
        while let Some(action) = self.actions.pop_front() {
            match action {
                CallAction::ChooseTarget { exclude, retry } => {
                    self.choose_target(exclude, retry).await;
                }
                CallAction::Connect {
                    connection: number,
                    target,
                } => self.connect(number, &target).await,
                CallAction::Send {
                    connection: number,
                    target,
                    time_left,
                } => self.send(number, &target, time_left).await,
                CallAction::Resume {
                    connection: number,
                    target,
                    generation,
                    offset,
                } => self.resume(number, &target, generation, offset).await,
                CallAction::Deliver { .. } | CallAction::Drop => {}
                CallAction::DiscardAnswer => self.discard_answer(),
                CallAction::CloseConnection { .. } => self.close_link(),
                CallAction::Cancel { target, generation } => self.cancel(&target, generation),
                CallAction::SetTimer { at } => self.timer = Some(at),
                CallAction::Detach(failure) => {
                    self.detached = true;
                    return Some(RelayStep::Detached(failure));
                }
                CallAction::Finish { count } => return Some(self.finish(count).await),
                CallAction::Fail(failure) => return Some(self.fail(failure).await),
                CallAction::Abandon { .. } => {
                    self.ended = true;
                    return None;
                }
            }
        }
        None
    }

    /// Starts over for another generation, of which nothing has been told yet.
    fn discard_answer(&mut self) {
        self.writer.discard();
        self.delivered = 0;
        self.told = 0;
    }

    async fn choose_target(&mut self, exclude: Vec<TargetName>, retry: bool) {
        if self.placement == PlacementState::Placed {
            let state = self.attempt_outcome();
            self.leave_target(state);
        }
        let mut item = self.job.item.clone();
        item.excluded = exclude;
        let sched = self.parts.sched.clone();
        self.placement = PlacementState::Waiting;
        let print = self.job.print;
        // A moved call adds nothing to the offered load, so that it needs no retry budget.
        let retry = retry && !std::mem::replace(&mut self.moved, false);
        let placed = self.or_timer(sched.submit(item, print, retry)).await;
        let Some(placed) = placed else {
            self.feed(CallEvent::Timer);
            return;
        };
        self.placement = PlacementState::None;
        match placed {
            CallPlacement::Dispatch { target, priority } => {
                self.placement = PlacementState::Placed;
                self.priority = priority;
                self.feed(CallEvent::TargetChosen { target });
            }
            CallPlacement::Refuse { kind, retry_after } => {
                self.feed(CallEvent::NoTarget { kind, retry_after });
            }
            CallPlacement::RetryRefused => {
                self.feed(CallEvent::RetryRefused { retry_after: None });
            }
        }
    }

    async fn connect(&mut self, number: ConnectionNumber, target: &TargetName) {
        self.number = number;
        self.run = self.incarnation(target);
        let Some(address) = self.address(target) else {
            self.feed(CallEvent::ConnectFailed { connection: number });
            return;
        };
        let engine = self.parts.engine.clone();
        match self.or_timer(engine.connect(address)).await {
            None => self.feed(CallEvent::Timer),
            Some(Ok(connection)) => {
                self.link = LinkState::Open(connection);
                self.note_connected(number);
            }
            Some(Err(fault)) => {
                self.leave_target(DispatchOutcome::Failed);
                self.note_fault(target, &fault);
                self.feed(CallEvent::ConnectFailed { connection: number });
            }
        }
    }

    async fn send(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        time_left: Option<TimeSpan>,
    ) {
        let LinkState::Open(connection) = std::mem::replace(&mut self.link, LinkState::Closed)
        else {
            self.feed(CallEvent::ConnectionLost { connection: number });
            return;
        };
        if !self.parts.may_send(target) {
            self.leave_target(DispatchOutcome::Failed);
            self.feed(CallEvent::ConnectFailed { connection: number });
            return;
        }
        self.feed(CallEvent::FirstByteSent { connection: number });
        self.parts.sched.note_sent(self.request().clone());
        self.note(EventKind::AttemptSent, target.as_str());
        self.parts.metrics.count_attempt();
        let call = self.engine_call(target, time_left);
        let wait = HeadWait {
            engine: self.parts.engine.clone(),
            address: self.address(target),
            request: self.request().clone(),
            run: self.run,
            leave: self.leave_watch(),
        };
        match self.or_timer(wait.outcome(connection.start(call))).await {
            // The timer can only be the deadline here, and it ends the call.
            None => self.feed(CallEvent::Timer),
            Some(HeadOutcome::Answered(Ok(stream))) => {
                self.open_stream(number, target, stream).await;
            }
            Some(HeadOutcome::Answered(Err(fault))) => self.take_fault(number, target, fault).await,
            Some(HeadOutcome::Silent(generation)) => {
                self.resume_unnamed(number, target, generation).await;
            }
            Some(HeadOutcome::Died) => self.take_verdict(MonitorVerdict::TargetDead).await,
            Some(HeadOutcome::Reclaimed) => self.move_call(),
        }
    }

    /// Resumes a generation whose response head never arrived.
    async fn resume_unnamed(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        generation: GenerationId,
    ) {
        self.feed(CallEvent::Accepted {
            connection: number,
            generation: generation.as_str(),
        });
        self.admit(target, generation).await;
        self.take_verdict(MonitorVerdict::ConnectionSilent).await;
    }

    /// The watch for a leaving target, if the call may still be moved to another one.
    fn leave_watch(&self) -> Option<LeaveWatch> {
        if !matches!(
            self.machine.state(),
            AttemptState::Sent | AttemptState::Accepted
        ) {
            return None;
        }
        let plan = self.machine.plan();
        let spent = self.machine.attempts() >= plan.policy.attempt_limit;
        if !plan.repeatable || self.detached || spent {
            return None;
        }
        let target = self.machine.target()?.clone();
        let route = self.job.route.clone();
        Some(LeaveWatch::new(self.parts.clone(), target, route))
    }

    /// Takes the call away from a leaving target, which is neither blamed nor marked.
    fn move_call(&mut self) {
        let Some(target) = self.machine.target().cloned() else {
            return;
        };
        self.note(
            EventKind::AttemptFailed,
            &format!("{target}: moved, as the target is leaving"),
        );
        if self.machine.generation().is_none() {
            self.cancel_unnamed(&target);
        }
        self.leave_target(DispatchOutcome::Cancelled);
        self.moved = true;
        self.feed(CallEvent::TargetDied { target });
    }

    async fn resume(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        generation: GenerationId,
        offset: u64,
    ) {
        self.number = number;
        let Some(address) = self.address(target) else {
            self.feed(CallEvent::ResumeRefused { connection: number });
            return;
        };
        let engine = self.parts.engine.clone();
        match self
            .or_timer(engine.resume(address, generation, offset))
            .await
        {
            None => self.feed(CallEvent::Timer),
            Some(Ok(stream)) => {
                let detail = format!("{target} from offset {offset}");
                self.note(EventKind::StreamResumed, &detail);
                self.parts.metrics.count_resume();
                self.note_connected(number);
                self.open_stream(number, target, stream).await;
            }
            Some(Err(EngineError::UnknownGeneration)) => {
                self.note_restart(target, address).await;
                self.feed(CallEvent::ResumeRefused { connection: number });
            }
            Some(Err(fault)) => self.take_fault(number, target, fault).await,
        }
    }

    /// An engine that lost a generation by a restart died while it ran the request.
    async fn note_restart(&self, target: &TargetName, address: SocketAddr) {
        let Some(known) = self.run else {
            return;
        };
        let health = self.parts.engine.health(address).await;
        if health.is_ok_and(|health| health.incarnation != known) {
            self.parts.sched.note_failure(target.clone(), Some(known));
        }
    }

    async fn open_stream(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        stream: EngineStream,
    ) {
        let now = self.parts.clock.now();
        self.run = self.run.or_else(|| self.incarnation(target));
        let run = self.run.unwrap_or_default();
        self.watch = Some(ConnectionMonitor::new(now, run, MonitorPolicy::default()));
        let generation = stream.generation().cloned();
        self.link = LinkState::Reading(stream);
        if let Some(generation) = generation {
            self.feed(CallEvent::Accepted {
                connection: number,
                generation: generation.as_str(),
            });
            self.admit(target, generation).await;
        }
    }

    /// Tells the policy where the call runs, and the writer what event ids start with.
    async fn admit(&mut self, target: &TargetName, generation: GenerationId) {
        let workspace = &self.job.item.workspace;
        let key = &self.parts.resume;
        let token = ResumeToken::new(key, workspace, target.clone(), generation.clone());
        self.writer.set_token(&token);
        if let Some(address) = self.address(target) {
            let request = self.request().clone();
            self.parts.sched.admit(request, address, generation);
        }
    }

    async fn take_fault(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        fault: EngineError,
    ) {
        self.note(EventKind::AttemptFailed, &format!("{target}: {fault}"));
        self.note_fault(target, &fault);
        match fault {
            EngineError::Unsent { .. } => self.feed(CallEvent::NotAdmitted {
                connection: number,
                retry_after: None,
            }),
            EngineError::NotAdmitted { retry_after } => {
                self.feed(CallEvent::NotAdmitted {
                    connection: number,
                    retry_after,
                });
            }
            EngineError::Refused => self.feed(CallEvent::TargetDied {
                target: target.clone(),
            }),
            EngineError::ErrorResponse { status, body } => {
                if (400..500).contains(&status) {
                    self.rejected = Some((status, body));
                }
                self.feed(CallEvent::TargetFailed {
                    connection: number,
                    status,
                });
            }
            EngineError::UnknownGeneration => {
                self.feed(CallEvent::ResumeRefused { connection: number })
            }
            EngineError::Silent => self.feed(CallEvent::ConnectionSilent { connection: number }),
            EngineError::ConnectionLost { .. } if self.has_died(target).await => {
                // The mark has to be there before the call asks for its next target.
                self.parts.sched.note_failure(target.clone(), self.run);
                self.feed(CallEvent::TargetDied {
                    target: target.clone(),
                });
            }
            EngineError::ConnectionLost { .. } | EngineError::Protocol { .. } => {
                self.feed(CallEvent::ConnectionLost { connection: number });
            }
        }
    }

    /// Tells whether the engine died when its connection was cut before a generation began.
    ///
    /// Later than that the attempt to resume the generation finds out.
    async fn has_died(&mut self, target: &TargetName) -> bool {
        if self.machine.generation().is_some() {
            return false;
        }
        let (Some(known), Some(address)) = (self.run, self.address(target)) else {
            return false;
        };
        let engine = self.parts.engine.clone();
        let died = self.or_timer(find_death(engine, address, known)).await;
        if died.is_none() {
            self.feed(CallEvent::Timer);
        }
        died.unwrap_or(false)
    }

    fn note_fault(&mut self, target: &TargetName, fault: &EngineError) {
        let died = matches!(fault, EngineError::Refused);
        let blamed = !matches!(
            fault,
            EngineError::NotAdmitted { .. }
                | EngineError::ErrorResponse {
                    status: 400..=499,
                    ..
                }
                | EngineError::UnknownGeneration
        );
        if blamed {
            let incarnation = self.run.or_else(|| self.incarnation(target));
            let incarnation = incarnation.filter(|_| died);
            self.parts.sched.note_failure(target.clone(), incarnation);
        }
    }

    async fn read_link(&mut self) -> Option<RelayStep> {
        let leave = self.leave_watch();
        let LinkState::Reading(stream) = &mut self.link else {
            self.wait_for_timer().await;
            return None;
        };
        let wait = next_wait(self.parts.clock.now(), self.timer, self.watch.as_ref());
        let filled = match &leave {
            None => stream.read_more(wait).await,
            Some(leave) => {
                tokio::select! {
                    biased;
                    filled = stream.read_more(wait) => filled,
                    () = leave.reclaimed() => {
                        self.move_call();
                        return None;
                    }
                }
            }
        };
        match filled {
            Ok(true) => self.take_events().await,
            Ok(false) => {
                self.feed(CallEvent::ConnectionLost {
                    connection: self.number,
                });
                None
            }
            Err(EngineError::Silent) => {
                self.check_quiet().await;
                None
            }
            Err(fault) => {
                let target = self.machine.target().cloned()?;
                self.take_fault(self.number, &target, fault).await;
                None
            }
        }
    }

    /// Takes every event that has arrived and returns what is ready for the caller.
    async fn take_events(&mut self) -> Option<RelayStep> {
        let now = self.parts.clock.now();
        let before = self.delivered;
        while let LinkState::Reading(stream) = &mut self.link {
            match stream.next_buffered() {
                Ok(None) => break,
                Ok(Some(EngineEvent::Token {
                    generation,
                    offset,
                    data,
                })) => {
                    self.take_token(now, &generation, u64::from(offset), &data)
                        .await
                }
                Ok(Some(EngineEvent::End {
                    generation,
                    count,
                    data,
                })) => {
                    self.end_data = Some(data);
                    self.feed(CallEvent::EndOfStream {
                        connection: self.number,
                        generation: generation.as_str(),
                        count: u64::from(count.0),
                    });
                }
                Err(fault) => {
                    let target = self.machine.target().cloned()?;
                    self.take_fault(self.number, &target, fault).await;
                }
            }
            if !self.actions.is_empty() {
                break;
            }
        }
        let received = self.machine.next_offset();
        self.parts.metrics.count_tokens(self.delivered - before);
        if let Some(watch) = &mut self.watch {
            watch.on_bytes(now, received);
        }
        self.tell_progress(received).await;
        // The last chunk goes out together with the end of the answer.
        if self.actions.is_empty() {
            return self.writer.take_chunk().map(RelayStep::Chunk);
        }
        None
    }

    async fn take_token(
        &mut self,
        now: ClockTime,
        generation: &GenerationId,
        offset: u64,
        data: &[u8],
    ) {
        let first = self.machine.generation().is_none();
        let event = CallEvent::Token {
            connection: self.number,
            generation: generation.as_str(),
            offset,
            len: 1,
        };
        self.machine.on_event(now, event, &mut self.scratch);
        if first && let Some(target) = self.machine.target().cloned() {
            self.admit(&target, generation.clone()).await;
        }
        if matches!(self.scratch.first(), Some(CallAction::Deliver { .. })) {
            if self.delivered == 0 {
                self.note(EventKind::GenerationStarted, generation.as_str());
                let waited = now - self.job.item.arrival;
                self.parts.metrics.observe_first_token(waited);
                self.drop_body();
            }
            self.delivered += 1;
            self.writer.write_token(offset, data);
        }
        for action in self.scratch.drain(..) {
            if !matches!(action, CallAction::Deliver { .. } | CallAction::Drop) {
                self.actions.push_back(action);
            }
        }
    }

    /// A streamed answer that has begun is resumed and never run again, so its stream needs no
    /// copy of the prompt while it is open.
    fn drop_body(&mut self) {
        if self.job.is_streamed() {
            self.job.body = Map::new();
        }
    }

    async fn tell_progress(&mut self, received: u64) {
        if received >= self.told + PROGRESS_STEP {
            self.told = received;
            let produced = TokenCount(u32::try_from(received).unwrap_or(u32::MAX));
            let request = self.request().clone();
            self.parts.sched.progress(request, produced);
        }
    }

    async fn check_quiet(&mut self) {
        let now = self.parts.clock.now();
        if self.timer.is_some_and(|at| at <= now) {
            self.timer = None;
            self.feed(CallEvent::Timer);
        }
        let Some(watch) = &mut self.watch else {
            return;
        };
        let mut verdict = watch.on_tick(now);
        if verdict == MonitorVerdict::Probe {
            let Some(outcome) = self.probe_or_leave().await else {
                self.move_call();
                return;
            };
            let now = self.parts.clock.now();
            let Some(watch) = &mut self.watch else {
                return;
            };
            verdict = watch.on_probe(now, outcome);
        }
        self.take_verdict(verdict).await;
    }

    async fn take_verdict(&mut self, verdict: MonitorVerdict) {
        let Some(target) = self.machine.target().cloned() else {
            return;
        };
        match verdict {
            MonitorVerdict::Wait | MonitorVerdict::Probe => {}
            MonitorVerdict::ConnectionSilent => {
                self.note(EventKind::LinkSilent, target.as_str());
                self.feed(CallEvent::ConnectionSilent {
                    connection: self.number,
                });
            }
            MonitorVerdict::TargetDead => {
                self.parts.sched.note_failure(target.clone(), self.run);
                self.feed(CallEvent::TargetDied { target });
            }
            MonitorVerdict::TargetUnreachable => {
                self.parts.sched.note_failure(target.clone(), None);
                self.feed(CallEvent::TargetDied { target });
            }
        }
    }

    /// Probes the target; `None` if it is leaving and the call may be moved.
    async fn probe_or_leave(&self) -> Option<ProbeOutcome> {
        let Some(leave) = self.leave_watch() else {
            return Some(self.probe_target().await);
        };
        tokio::select! {
            biased;
            outcome = self.probe_target() => Some(outcome),
            () = leave.reclaimed() => None,
        }
    }

    async fn probe_target(&self) -> ProbeOutcome {
        let target = self.machine.target();
        let Some(address) = target.and_then(|target| self.address(target)) else {
            return ProbeOutcome::TimedOut;
        };
        let engine = &self.parts.engine;
        let found = match self.machine.generation() {
            Some(generation) => {
                let progress = engine.progress(address, generation.clone()).await;
                progress.map(|progress| (progress.incarnation, Some(progress.produced)))
            }
            None => {
                let health = engine.health(address).await;
                health.map(|health| (health.incarnation, None))
            }
        };
        match found {
            Ok((incarnation, produced)) => ProbeOutcome::Answered {
                // Without a known run to compare with, any answer counts as the same run.
                incarnation: self.run.map_or(IncarnationNumber(0), |_| incarnation),
                produced,
            },
            Err(EngineError::Refused) => ProbeOutcome::Refused,
            // Another run of the engine does not know the generation.
            Err(EngineError::UnknownGeneration) => ProbeOutcome::Answered {
                incarnation: IncarnationNumber(u64::MAX),
                produced: None,
            },
            Err(_) => ProbeOutcome::TimedOut,
        }
    }

    async fn wait_for_timer(&mut self) {
        let now = self.parts.clock.now();
        let wait = self.timer.map_or(IDLE_WAIT, |at| at - now);
        sleep(Duration::from(wait)).await;
        if self.timer.is_some_and(|at| at <= self.parts.clock.now()) {
            self.timer = None;
            self.feed(CallEvent::Timer);
        }
    }

    /// Waits for a result or for the timer of the machine.
    async fn or_timer<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let now = self.parts.clock.now();
        let wait = self.timer.map_or(IDLE_WAIT * 60, |at| at - now);
        tokio::select! {
            done = work => Some(done),
            () = sleep(Duration::from(wait)) => {
                self.timer = None;
                None
            }
        }
    }

    async fn finish(&mut self, count: u64) -> RelayStep {
        let data = self.end_data.take().unwrap_or_default();
        self.writer.write_end(&data);
        self.leave_target(DispatchOutcome::Complete);
        self.note(EventKind::RequestFinished, &format!("{count} tokens"));
        self.parts.metrics.count_outcome("complete");
        self.ended = true;
        RelayStep::Finished(self.writer.finish().unwrap_or_default())
    }

    async fn fail(&mut self, failure: CallFailure) -> RelayStep {
        let state = match failure.kind {
            ErrorKind::DeadlineExceeded => DispatchOutcome::Cancelled,
            _ => self.attempt_outcome(),
        };
        self.leave_target(state);
        self.note(EventKind::RequestFailed, failure.kind.into());
        self.parts.metrics.count_outcome(failure.kind.into());
        self.ended = true;
        if let Some((status, body)) = self.rejected.take()
            && self.delivered == 0
        {
            return RelayStep::Rejected { status, body };
        }
        RelayStep::Failed(failure)
    }

    fn attempt_outcome(&self) -> DispatchOutcome {
        match self.machine.ran() {
            base::RanState::No => DispatchOutcome::NotAdmitted,
            _ => DispatchOutcome::Failed,
        }
    }

    fn leave_target(&mut self, state: DispatchOutcome) {
        let request = self.request().clone();
        match std::mem::replace(&mut self.placement, PlacementState::None) {
            PlacementState::None => {}
            PlacementState::Waiting => self.parts.sched.withdraw(request),
            PlacementState::Placed => self.parts.sched.finish(request, state),
        }
    }

    fn close_link(&mut self) {
        self.link = LinkState::Closed;
        self.watch = None;
    }

    fn cancel(&self, target: &TargetName, generation: GenerationId) {
        let Some(address) = self.address(target) else {
            return;
        };
        let engine = self.parts.engine.clone();
        tokio::spawn(async move {
            // An engine that can't be reached has lost the generation or will end it itself.
            let _ = engine.cancel(address, generation).await;
        });
    }

    /// Cancels what the engine runs for the request, though it has not named the generation.
    fn cancel_unnamed(&self, target: &TargetName) {
        let Some(address) = self.address(target) else {
            return;
        };
        let (engine, request) = (self.parts.engine.clone(), self.request().clone());
        tokio::spawn(async move {
            let found = engine.request_progress(address, request).await;
            if let Some(generation) = found.ok().and_then(|found| found.generation) {
                // An engine that can't be reached has lost the generation or will end it itself.
                let _ = engine.cancel(address, generation).await;
            }
        });
    }

    fn engine_call(&self, target: &TargetName, time_left: Option<TimeSpan>) -> EngineCall {
        let mut body = self.job.body.clone();
        let version = self.job.route.version(target).cloned();
        let spec = match version {
            Some(version) => self.job.spec.with_version(version),
            None => self.job.spec.clone(),
        };
        body.insert("model".to_owned(), spec.to_string().into());
        EngineCall {
            request: self.request().clone(),
            path: self.job.path,
            body,
            priority: self.priority,
            head_timeout: HEAD_WAIT,
            time_left,
        }
    }

    fn address(&self, target: &TargetName) -> Option<SocketAddr> {
        self.parts.view.get().address(target)
    }

    fn incarnation(&self, target: &TargetName) -> Option<IncarnationNumber> {
        let view = self.parts.view.get();
        let health = view.target(target)?.health.as_ref()?;
        Some(health.incarnation)
    }

    fn note(&self, kind: EventKind, detail: &str) {
        self.parts
            .journal
            .note_request(kind, self.request(), detail);
    }
}

/// Asks on fresh connections whether the run `known` of an engine is gone.
async fn find_death(
    engine: Arc<dyn EngineClient>,
    address: SocketAddr,
    known: IncarnationNumber,
) -> bool {
    for _ in 0..DEATH_TRIES {
        match engine.health(address).await {
            Ok(health) => return health.incarnation != known,
            Err(EngineError::Refused) => return true,
            // A process that ends may accept connections for a moment longer.
            Err(EngineError::ConnectionLost { .. } | EngineError::Unsent { .. }) => {
                sleep(DEATH_PAUSE).await;
            }
            Err(_) => return false,
        }
    }
    false
}

/// Time until the timer or the watch is due.
fn next_wait(
    now: ClockTime,
    timer: Option<ClockTime>,
    watch: Option<&ConnectionMonitor>,
) -> TimeSpan {
    let due = [timer, watch.map(ConnectionMonitor::next_check_at)];
    let next = due.into_iter().flatten().min();
    next.map_or(IDLE_WAIT, |at| at - now)
}

impl Drop for CallRelay {
    /// A caller that goes away drops the relay in the middle of a step.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (target, generation) = (self.machine.target(), self.machine.generation());
        if let (Some(target), Some(generation)) = (target, generation) {
            self.cancel(target, generation.clone());
        }
        self.note(EventKind::CallerGone, "");
        self.parts.metrics.count_outcome("caller_gone");
        if self.placement != PlacementState::None {
            self.parts.sched.withdraw(self.request().clone());
        }
    }
}
