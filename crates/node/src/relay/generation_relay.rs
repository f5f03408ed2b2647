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

use super::{
    AnswerWriter, GenerationJob, HeadOutcome, HeadWait, MoveTrigger, RelayContext, ResumeToken,
};
use crate::{
    CallPlacement, EngineCall, EngineClient, EngineConnection, EngineError, EngineEvent,
    EngineStream,
};

/// Minimum number of tokens between two progress reports to the scheduling actor.
const PROGRESS_INTERVAL_TOKENS: u64 = 16;
/// Maximum wait for the response head of an engine, which sends it as soon as it queues a call.
const HEAD_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Maximum number of health requests, each on a fresh connection, to find out whether an engine
/// died.
const DEATH_CHECK_ATTEMPTS: usize = 10;
/// Time between two of these health requests.
const DEATH_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum wait for the next event when no timer is set.
const IDLE_WAIT: TimeSpan = TimeSpan::from_secs(60);

/// What a generation relay produces for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationOutput {
    /// A part of a streamed answer.
    Chunk(Bytes),
    /// The answer is complete: the rest of a streamed answer, or the complete buffered one.
    Finished(Bytes),
    /// This caller gets an error now, while the generation continues.
    Detached(CallFailure),
    /// The call failed.
    Failed(CallFailure),
    /// The engine rejected the request as invalid, with a status of 400 to 499.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Body of the engine's answer.
        body: Bytes,
    },
}

/// Connection to the engine of the current attempt.
enum ConnectionState {
    Closed,
    /// Established; the request has not been sent.
    Open(Box<dyn EngineConnection>),
    /// The answer is being read.
    Reading(EngineStream),
}

/// What the routing policy knows of the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacementState {
    /// Nothing: the attempt is not submitted, or it is finished.
    None,
    /// The call waits for a target.
    Waiting,
    /// The call is assigned to a target.
    Placed,
}

/// Relays one generation: passes what happens to the call machine and executes the actions that it
/// returns.
pub struct GenerationRelay {
    context: Arc<RelayContext>,
    job: GenerationJob,
    machine: CallMachine,
    /// Actions of the machine that are not executed yet.
    actions: VecDeque<CallAction>,
    /// Empty between two events; reused to spare an allocation for each event.
    action_buffer: Vec<CallAction>,
    connection: ConnectionState,
    connection_number: ConnectionNumber,
    monitor: Option<ConnectionMonitor>,
    /// Incarnation of the target that the current attempt was sent to, if known.
    incarnation: Option<IncarnationNumber>,
    /// When the machine wants its next `Timer` event.
    timer: Option<ClockTime>,
    writer: AnswerWriter,
    placement: PlacementState,
    priority: RequestPriority,
    /// Tokens of the last progress report.
    reported_tokens: u64,
    /// Tokens written to the answer.
    delivered_tokens: u64,
    /// Data of the end event of the stream.
    end_data: Option<Bytes>,
    /// Status and body of the engine's last answer with a status of 400 to 499.
    rejected: Option<(u16, Bytes)>,
    /// The caller already got an error while the generation continues.
    detached: bool,
    /// The last attempt was taken away from a leaving target before its first token, so that the
    /// next one is a move and not a retry.
    moved: bool,
    ended: bool,
}

impl GenerationRelay {
    /// Creates the relay of a job; nothing is sent before the first call of `next_output`.
    pub fn new(context: Arc<RelayContext>, job: GenerationJob) -> Self {
        let mut machine = CallMachine::new(job.plan.clone());
        let mut action_buffer = Vec::with_capacity(4);
        machine.start(context.clock.now(), &mut action_buffer);
        let mut writer = AnswerWriter::new(job.is_streamed());
        if let Some(point) = &job.plan.resume {
            let (target, generation) = (point.target.clone(), point.generation.clone());
            let workspace = &job.item.workspace;
            writer.set_token(&ResumeToken::new(
                &context.resume,
                workspace,
                target,
                generation,
            ));
        }
        Self {
            context,
            job,
            machine,
            actions: action_buffer.drain(..).collect(),
            action_buffer,
            connection: ConnectionState::Closed,
            connection_number: ConnectionNumber(0),
            monitor: None,
            incarnation: None,
            timer: None,
            writer,
            placement: PlacementState::None,
            priority: RequestPriority::default(),
            reported_tokens: 0,
            delivered_tokens: 0,
            end_data: None,
            rejected: None,
            detached: false,
            moved: false,
            ended: false,
        }
    }

    /// Id of the request.
    pub fn request(&self) -> &RequestId {
        &self.job.plan.request
    }

    /// Returns the next output for the caller; `None` after the last one.
    pub async fn next_output(&mut self) -> Option<GenerationOutput> {
        while !self.ended {
            if let Some(output) = self.run_actions().await {
                return Some(output);
            }
            if self.ended {
                break;
            }
            if let Some(output) = self.read_connection().await {
                return Some(output);
            }
        }
        None
    }

    /// Passes an event to the machine and queues the actions that it returns.
    fn handle_event(&mut self, event: CallEvent<'_>) {
        let now = self.context.clock.now();
        self.machine.on_event(now, event, &mut self.action_buffer);
        self.actions.extend(self.action_buffer.drain(..));
    }

    /// Reports the established connection and clears the connect timer, also if its `SetTimer` is
    /// still queued: without a deadline no other timer would replace it, and it would end the wait
    /// for the response head.
    fn on_connected(&mut self, number: ConnectionNumber) {
        self.timer = None;
        self.actions
            .retain(|action| !matches!(action, CallAction::SetTimer { .. }));
        self.handle_event(CallEvent::Connected { connection: number });
    }

    /// Executes queued actions until one has an output for the caller.
    async fn run_actions(&mut self) -> Option<GenerationOutput> {
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
                CallAction::CloseConnection { .. } => self.close_connection(),
                CallAction::Cancel { target, generation } => self.cancel(&target, generation),
                CallAction::SetTimer { at } => self.timer = Some(at),
                CallAction::Detach(failure) => {
                    self.detached = true;
                    return Some(GenerationOutput::Detached(failure));
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

    /// Discards a buffered answer, which another generation replaces.
    fn discard_answer(&mut self) {
        self.writer.discard();
        self.delivered_tokens = 0;
        self.reported_tokens = 0;
    }

    async fn choose_target(&mut self, exclude: Vec<TargetName>, retry: bool) {
        if self.placement == PlacementState::Placed {
            let state = self.attempt_outcome();
            self.release_target(state);
        }
        let mut item = self.job.item.clone();
        item.excluded = exclude;
        let sched = self.context.sched.clone();
        self.placement = PlacementState::Waiting;
        let fingerprint = self.job.fingerprint;
        // A moved call adds nothing to the offered load, so it takes nothing from the retry budget.
        let retry = retry && !std::mem::replace(&mut self.moved, false);
        let placed = self
            .race_timer(sched.submit(item, fingerprint, retry))
            .await;
        let Some(placed) = placed else {
            self.handle_event(CallEvent::Timer);
            return;
        };
        self.placement = PlacementState::None;
        match placed {
            CallPlacement::Dispatch { target, priority } => {
                self.placement = PlacementState::Placed;
                self.priority = priority;
                self.handle_event(CallEvent::TargetChosen { target });
            }
            CallPlacement::Refuse { kind, retry_after } => {
                self.handle_event(CallEvent::NoTarget { kind, retry_after });
            }
            CallPlacement::RetryRefused => {
                self.handle_event(CallEvent::RetryRefused { retry_after: None });
            }
        }
    }

    async fn connect(&mut self, number: ConnectionNumber, target: &TargetName) {
        self.connection_number = number;
        self.incarnation = self.known_incarnation(target);
        let Some(address) = self.address(target) else {
            self.handle_event(CallEvent::ConnectFailed { connection: number });
            return;
        };
        let engine = self.context.engine.clone();
        match self.race_timer(engine.connect(address)).await {
            None => self.handle_event(CallEvent::Timer),
            Some(Ok(connection)) => {
                self.connection = ConnectionState::Open(connection);
                self.on_connected(number);
            }
            Some(Err(error)) => {
                self.release_target(DispatchOutcome::Failed);
                self.report_error(target, &error);
                self.handle_event(CallEvent::ConnectFailed { connection: number });
            }
        }
    }

    async fn send(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        time_left: Option<TimeSpan>,
    ) {
        let ConnectionState::Open(connection) =
            std::mem::replace(&mut self.connection, ConnectionState::Closed)
        else {
            self.handle_event(CallEvent::ConnectionLost { connection: number });
            return;
        };
        if !self.context.may_send(target) {
            self.release_target(DispatchOutcome::Failed);
            self.handle_event(CallEvent::ConnectFailed { connection: number });
            return;
        }
        self.handle_event(CallEvent::FirstByteSent { connection: number });
        self.context.sched.mark_sent(self.request().clone());
        self.record(EventKind::AttemptSent, target.as_str());
        self.context.metrics.count_attempt();
        let call = self.engine_call(target, time_left);
        let wait = HeadWait {
            engine: self.context.engine.clone(),
            address: self.address(target),
            request: self.request().clone(),
            incarnation: self.incarnation,
            move_trigger: self.move_trigger(),
        };
        match self.race_timer(wait.outcome(connection.start(call))).await {
            // The connect timer is cleared by now, so this is the deadline, which ends the call.
            None => self.handle_event(CallEvent::Timer),
            Some(HeadOutcome::Answered(Ok(stream))) => {
                self.open_stream(number, target, stream).await;
            }
            Some(HeadOutcome::Answered(Err(error))) => {
                self.handle_error(number, target, error).await
            }
            Some(HeadOutcome::ConnectionSilent(generation)) => {
                self.resume_without_head(number, target, generation).await;
            }
            Some(HeadOutcome::TargetDied) => self.handle_verdict(MonitorVerdict::TargetDead).await,
            Some(HeadOutcome::TargetLeaving) => self.move_call(),
        }
    }

    /// Resumes a generation whose response head did not arrive, on a fresh connection.
    async fn resume_without_head(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        generation: GenerationId,
    ) {
        self.handle_event(CallEvent::Accepted {
            connection: number,
            generation: generation.as_str(),
        });
        self.report_admitted(target, generation).await;
        self.handle_verdict(MonitorVerdict::ConnectionSilent).await;
    }

    /// Returns the trigger that moves the call away from a leaving target, or `None` if the call
    /// has to stay: a token has arrived, it is not repeatable, its caller already got an error or
    /// its attempts are used up.
    fn move_trigger(&self) -> Option<MoveTrigger> {
        if !matches!(
            self.machine.state(),
            AttemptState::Sent | AttemptState::Accepted
        ) {
            return None;
        }
        let plan = self.machine.plan();
        let attempts_exhausted = self.machine.attempts() >= plan.policy.attempt_limit;
        if !plan.repeatable || self.detached || attempts_exhausted {
            return None;
        }
        let target = self.machine.target()?.clone();
        let route = self.job.route.clone();
        Some(MoveTrigger::new(self.context.clone(), target, route))
    }

    /// Moves the call away from a leaving target, without reporting a failure of that target.
    fn move_call(&mut self) {
        let Some(target) = self.machine.target().cloned() else {
            return;
        };
        self.record(
            EventKind::AttemptFailed,
            &format!("{target}: moved, as the target is leaving"),
        );
        if self.machine.generation().is_none() {
            self.cancel_by_request(&target);
        }
        self.release_target(DispatchOutcome::Cancelled);
        self.moved = true;
        self.handle_event(CallEvent::TargetDied { target });
    }

    async fn resume(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        generation: GenerationId,
        offset: u64,
    ) {
        self.connection_number = number;
        let Some(address) = self.address(target) else {
            self.handle_event(CallEvent::ResumeRefused { connection: number });
            return;
        };
        let engine = self.context.engine.clone();
        match self
            .race_timer(engine.resume(address, generation, offset))
            .await
        {
            None => self.handle_event(CallEvent::Timer),
            Some(Ok(stream)) => {
                let detail = format!("{target} from offset {offset}");
                self.record(EventKind::StreamResumed, &detail);
                self.context.metrics.count_resume();
                self.on_connected(number);
                self.open_stream(number, target, stream).await;
            }
            Some(Err(EngineError::UnknownGeneration)) => {
                self.report_restart(target, address).await;
                self.handle_event(CallEvent::ResumeRefused { connection: number });
            }
            Some(Err(error)) => self.handle_error(number, target, error).await,
        }
    }

    /// Reports the failure of an engine that lost the generation because it restarted: the earlier
    /// incarnation died while it ran the request.
    async fn report_restart(&self, target: &TargetName, address: SocketAddr) {
        let Some(known) = self.incarnation else {
            return;
        };
        let health = self.context.engine.health(address).await;
        if health.is_ok_and(|health| health.incarnation != known) {
            self.context
                .sched
                .report_failure(target.clone(), Some(known));
        }
    }

    async fn open_stream(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        stream: EngineStream,
    ) {
        let now = self.context.clock.now();
        self.incarnation = self.incarnation.or_else(|| self.known_incarnation(target));
        let incarnation = self.incarnation.unwrap_or_default();
        self.monitor = Some(ConnectionMonitor::new(
            now,
            incarnation,
            MonitorPolicy::default(),
        ));
        let generation = stream.generation().cloned();
        self.connection = ConnectionState::Reading(stream);
        if let Some(generation) = generation {
            self.handle_event(CallEvent::Accepted {
                connection: number,
                generation: generation.as_str(),
            });
            self.report_admitted(target, generation).await;
        }
    }

    /// Reports to the scheduling actor where the call runs, and gives the writer the resume token
    /// with which event ids start.
    async fn report_admitted(&mut self, target: &TargetName, generation: GenerationId) {
        let workspace = &self.job.item.workspace;
        let key = &self.context.resume;
        let token = ResumeToken::new(key, workspace, target.clone(), generation.clone());
        self.writer.set_token(&token);
        if let Some(address) = self.address(target) {
            let request = self.request().clone();
            self.context
                .sched
                .mark_admitted(request, address, generation);
        }
    }

    /// Reports an error of an engine to the scheduling actor and to the machine.
    async fn handle_error(
        &mut self,
        number: ConnectionNumber,
        target: &TargetName,
        error: EngineError,
    ) {
        self.record(EventKind::AttemptFailed, &format!("{target}: {error}"));
        self.report_error(target, &error);
        match error {
            EngineError::Unsent { .. } => self.handle_event(CallEvent::NotAdmitted {
                connection: number,
                retry_after: None,
            }),
            EngineError::NotAdmitted { retry_after } => {
                self.handle_event(CallEvent::NotAdmitted {
                    connection: number,
                    retry_after,
                });
            }
            EngineError::Refused => self.handle_event(CallEvent::TargetDied {
                target: target.clone(),
            }),
            EngineError::ErrorResponse { status, body } => {
                if (400..500).contains(&status) {
                    self.rejected = Some((status, body));
                }
                self.handle_event(CallEvent::TargetFailed {
                    connection: number,
                    status,
                });
            }
            EngineError::UnknownGeneration => {
                self.handle_event(CallEvent::ResumeRefused { connection: number })
            }
            EngineError::Silent => {
                self.handle_event(CallEvent::ConnectionSilent { connection: number })
            }
            EngineError::ConnectionLost { .. } if self.has_died(target).await => {
                // The request has to be marked as a crash suspect before it asks for its next
                // target.
                self.context
                    .sched
                    .report_failure(target.clone(), self.incarnation);
                self.handle_event(CallEvent::TargetDied {
                    target: target.clone(),
                });
            }
            EngineError::ConnectionLost { .. } | EngineError::Protocol { .. } => {
                self.handle_event(CallEvent::ConnectionLost { connection: number });
            }
        }
    }

    /// Tells whether the engine died when its connection was lost before a generation began.
    ///
    /// After the start of a generation, the attempt to resume it finds that out.
    async fn has_died(&mut self, target: &TargetName) -> bool {
        if self.machine.generation().is_some() {
            return false;
        }
        let (Some(known), Some(address)) = (self.incarnation, self.address(target)) else {
            return false;
        };
        let engine = self.context.engine.clone();
        let died = self
            .race_timer(is_engine_dead(engine, address, known))
            .await;
        if died.is_none() {
            self.handle_event(CallEvent::Timer);
        }
        died.unwrap_or(false)
    }

    /// Reports an error to the scheduling actor if the target is to blame for it.
    fn report_error(&mut self, target: &TargetName, error: &EngineError) {
        let died = matches!(error, EngineError::Refused);
        let blamed = !matches!(
            error,
            EngineError::NotAdmitted { .. }
                | EngineError::ErrorResponse {
                    status: 400..=499,
                    ..
                }
                | EngineError::UnknownGeneration
        );
        if blamed {
            let incarnation = self.incarnation.or_else(|| self.known_incarnation(target));
            let incarnation = incarnation.filter(|_| died);
            self.context
                .sched
                .report_failure(target.clone(), incarnation);
        }
    }

    /// Waits for data of the engine, a timer or the trigger to move the call.
    async fn read_connection(&mut self) -> Option<GenerationOutput> {
        let trigger = self.move_trigger();
        let ConnectionState::Reading(stream) = &mut self.connection else {
            self.wait_for_timer().await;
            return None;
        };
        let wait = next_wait(self.context.clock.now(), self.timer, self.monitor.as_ref());
        let filled = match &trigger {
            None => stream.read_more(wait).await,
            Some(trigger) => {
                tokio::select! {
                    biased;
                    filled = stream.read_more(wait) => filled,
                    () = trigger.wait() => {
                        self.move_call();
                        return None;
                    }
                }
            }
        };
        match filled {
            Ok(true) => self.handle_ready_events().await,
            Ok(false) => {
                self.handle_event(CallEvent::ConnectionLost {
                    connection: self.connection_number,
                });
                None
            }
            Err(EngineError::Silent) => {
                self.check_silence().await;
                None
            }
            Err(error) => {
                let target = self.machine.target().cloned()?;
                self.handle_error(self.connection_number, &target, error)
                    .await;
                None
            }
        }
    }

    /// Handles every event that has arrived and returns the next chunk for the caller, if any.
    async fn handle_ready_events(&mut self) -> Option<GenerationOutput> {
        let now = self.context.clock.now();
        let before = self.delivered_tokens;
        while let ConnectionState::Reading(stream) = &mut self.connection {
            match stream.next_buffered() {
                Ok(None) => break,
                Ok(Some(EngineEvent::Token {
                    generation,
                    offset,
                    data,
                })) => {
                    self.handle_token(now, &generation, u64::from(offset), &data)
                        .await
                }
                Ok(Some(EngineEvent::End {
                    generation,
                    count,
                    data,
                })) => {
                    self.end_data = Some(data);
                    self.handle_event(CallEvent::EndOfStream {
                        connection: self.connection_number,
                        generation: generation.as_str(),
                        count: u64::from(count.0),
                    });
                }
                Err(error) => {
                    let target = self.machine.target().cloned()?;
                    self.handle_error(self.connection_number, &target, error)
                        .await;
                }
            }
            if !self.actions.is_empty() {
                break;
            }
        }
        let received = self.machine.next_offset();
        self.context
            .metrics
            .count_tokens(self.delivered_tokens - before);
        if let Some(monitor) = &mut self.monitor {
            monitor.on_bytes(now, received);
        }
        self.report_progress(received).await;
        // The last chunk goes out together with the end of the answer.
        if self.actions.is_empty() {
            return self.writer.take_chunk().map(GenerationOutput::Chunk);
        }
        None
    }

    async fn handle_token(
        &mut self,
        now: ClockTime,
        generation: &GenerationId,
        offset: u64,
        data: &[u8],
    ) {
        let first = self.machine.generation().is_none();
        let event = CallEvent::Token {
            connection: self.connection_number,
            generation: generation.as_str(),
            offset,
            len: 1,
        };
        self.machine.on_event(now, event, &mut self.action_buffer);
        if first && let Some(target) = self.machine.target().cloned() {
            self.report_admitted(&target, generation.clone()).await;
        }
        if matches!(self.action_buffer.first(), Some(CallAction::Deliver { .. })) {
            if self.delivered_tokens == 0 {
                self.record(EventKind::GenerationStarted, generation.as_str());
                let waited = now - self.job.item.arrival;
                self.context.metrics.observe_first_token(waited);
                self.drop_body();
            }
            self.delivered_tokens += 1;
            self.writer.write_token(offset, data);
        }
        for action in self.action_buffer.drain(..) {
            if !matches!(action, CallAction::Deliver { .. } | CallAction::Drop) {
                self.actions.push_back(action);
            }
        }
    }

    /// Frees the request body of a streamed call whose first token was delivered: such a call is
    /// resumed and never sent again, so an open stream needs no copy of the prompt.
    fn drop_body(&mut self) {
        if self.job.is_streamed() {
            self.job.body = Map::new();
        }
    }

    async fn report_progress(&mut self, received: u64) {
        if received >= self.reported_tokens + PROGRESS_INTERVAL_TOKENS {
            self.reported_tokens = received;
            let produced = TokenCount(u32::try_from(received).unwrap_or(u32::MAX));
            let request = self.request().clone();
            self.context.sched.report_progress(request, produced);
        }
    }

    /// Called when no data has arrived: handles an expired timer and probes the target if the
    /// monitor asks for it.
    async fn check_silence(&mut self) {
        let now = self.context.clock.now();
        if self.timer.is_some_and(|at| at <= now) {
            self.timer = None;
            self.handle_event(CallEvent::Timer);
        }
        let Some(monitor) = &mut self.monitor else {
            return;
        };
        let mut verdict = monitor.on_tick(now);
        if verdict == MonitorVerdict::Probe {
            let Some(outcome) = self.probe_or_move().await else {
                self.move_call();
                return;
            };
            let now = self.context.clock.now();
            let Some(monitor) = &mut self.monitor else {
                return;
            };
            verdict = monitor.on_probe(now, outcome);
        }
        self.handle_verdict(verdict).await;
    }

    /// Carries out what the connection monitor decided.
    async fn handle_verdict(&mut self, verdict: MonitorVerdict) {
        let Some(target) = self.machine.target().cloned() else {
            return;
        };
        match verdict {
            MonitorVerdict::Wait | MonitorVerdict::Probe => {}
            MonitorVerdict::ConnectionSilent => {
                self.record(EventKind::LinkSilent, target.as_str());
                self.handle_event(CallEvent::ConnectionSilent {
                    connection: self.connection_number,
                });
            }
            MonitorVerdict::TargetDead => {
                self.context
                    .sched
                    .report_failure(target.clone(), self.incarnation);
                self.handle_event(CallEvent::TargetDied { target });
            }
            MonitorVerdict::TargetUnreachable => {
                self.context.sched.report_failure(target.clone(), None);
                self.handle_event(CallEvent::TargetDied { target });
            }
        }
    }

    /// Probes the target; `None` if the call should be moved because the target is leaving.
    async fn probe_or_move(&self) -> Option<ProbeOutcome> {
        let Some(trigger) = self.move_trigger() else {
            return Some(self.probe_target().await);
        };
        tokio::select! {
            biased;
            outcome = self.probe_target() => Some(outcome),
            () = trigger.wait() => None,
        }
    }

    async fn probe_target(&self) -> ProbeOutcome {
        let target = self.machine.target();
        let Some(address) = target.and_then(|target| self.address(target)) else {
            return ProbeOutcome::TimedOut;
        };
        let engine = &self.context.engine;
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
                // Without a known incarnation to compare with, any answer counts as the same one;
                // the monitor was then created with incarnation 0.
                incarnation: self
                    .incarnation
                    .map_or(IncarnationNumber(0), |_| incarnation),
                produced,
            },
            Err(EngineError::Refused) => ProbeOutcome::Refused,
            // Only another incarnation of the engine does not know the generation.
            Err(EngineError::UnknownGeneration) => ProbeOutcome::Answered {
                incarnation: IncarnationNumber(u64::MAX),
                produced: None,
            },
            Err(_) => ProbeOutcome::TimedOut,
        }
    }

    async fn wait_for_timer(&mut self) {
        let now = self.context.clock.now();
        let wait = self.timer.map_or(IDLE_WAIT, |at| at - now);
        sleep(Duration::from(wait)).await;
        if self.timer.is_some_and(|at| at <= self.context.clock.now()) {
            self.timer = None;
            self.handle_event(CallEvent::Timer);
        }
    }

    /// Waits for `work`; `None` if the timer of the machine expires first.
    async fn race_timer<T>(&mut self, work: impl Future<Output = T>) -> Option<T> {
        let now = self.context.clock.now();
        let wait = self.timer.map_or(IDLE_WAIT * 60, |at| at - now);
        tokio::select! {
            done = work => Some(done),
            () = sleep(Duration::from(wait)) => {
                self.timer = None;
                None
            }
        }
    }

    async fn finish(&mut self, count: u64) -> GenerationOutput {
        let data = self.end_data.take().unwrap_or_default();
        self.writer.write_end(&data);
        self.release_target(DispatchOutcome::Complete);
        self.record(EventKind::RequestFinished, &format!("{count} tokens"));
        self.context.metrics.count_outcome("complete");
        self.ended = true;
        GenerationOutput::Finished(self.writer.finish().unwrap_or_default())
    }

    async fn fail(&mut self, failure: CallFailure) -> GenerationOutput {
        let state = match failure.kind {
            ErrorKind::DeadlineExceeded => DispatchOutcome::Cancelled,
            _ => self.attempt_outcome(),
        };
        self.release_target(state);
        self.record(EventKind::RequestFailed, failure.kind.into());
        self.context.metrics.count_outcome(failure.kind.into());
        self.ended = true;
        if let Some((status, body)) = self.rejected.take()
            && self.delivered_tokens == 0
        {
            return GenerationOutput::Rejected { status, body };
        }
        GenerationOutput::Failed(failure)
    }

    /// Outcome of an attempt that failed or is replaced.
    fn attempt_outcome(&self) -> DispatchOutcome {
        match self.machine.ran() {
            base::RanState::No => DispatchOutcome::NotAdmitted,
            _ => DispatchOutcome::Failed,
        }
    }

    /// Ends the placement of the attempt at the scheduling actor.
    fn release_target(&mut self, state: DispatchOutcome) {
        let request = self.request().clone();
        match std::mem::replace(&mut self.placement, PlacementState::None) {
            PlacementState::None => {}
            PlacementState::Waiting => self.context.sched.cancel(request),
            PlacementState::Placed => self.context.sched.finish(request, state),
        }
    }

    fn close_connection(&mut self) {
        self.connection = ConnectionState::Closed;
        self.monitor = None;
    }

    fn cancel(&self, target: &TargetName, generation: GenerationId) {
        let Some(address) = self.address(target) else {
            return;
        };
        let engine = self.context.engine.clone();
        tokio::spawn(async move {
            // An engine that can't be reached has lost the generation or ends it by itself.
            let _ = engine.cancel(address, generation).await;
        });
    }

    /// Cancels the generation of the request at an engine that has not reported its id, by asking
    /// for it first.
    fn cancel_by_request(&self, target: &TargetName) {
        let Some(address) = self.address(target) else {
            return;
        };
        let (engine, request) = (self.context.engine.clone(), self.request().clone());
        tokio::spawn(async move {
            let found = engine.request_progress(address, request).await;
            if let Some(generation) = found.ok().and_then(|found| found.generation) {
                // An engine that can't be reached has lost the generation or ends it by itself.
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
            head_timeout: HEAD_TIMEOUT,
            time_left,
        }
    }

    fn address(&self, target: &TargetName) -> Option<SocketAddr> {
        self.context.view.get().target_address(target)
    }

    fn known_incarnation(&self, target: &TargetName) -> Option<IncarnationNumber> {
        let view = self.context.view.get();
        let health = view.target(target)?.health.as_ref()?;
        Some(health.incarnation)
    }

    fn record(&self, kind: EventKind, detail: &str) {
        self.context
            .journal
            .record_for_request(kind, self.request(), detail);
    }
}

/// Asks on fresh connections whether the incarnation `known` of an engine is gone.
async fn is_engine_dead(
    engine: Arc<dyn EngineClient>,
    address: SocketAddr,
    known: IncarnationNumber,
) -> bool {
    for _ in 0..DEATH_CHECK_ATTEMPTS {
        match engine.health(address).await {
            Ok(health) => return health.incarnation != known,
            Err(EngineError::Refused) => return true,
            // A process that is ending may still accept connections for a moment.
            Err(EngineError::ConnectionLost { .. } | EngineError::Unsent { .. }) => {
                sleep(DEATH_CHECK_INTERVAL).await;
            }
            Err(_) => return false,
        }
    }
    false
}

/// Time until the timer or the next check of the monitor is due.
fn next_wait(
    now: ClockTime,
    timer: Option<ClockTime>,
    monitor: Option<&ConnectionMonitor>,
) -> TimeSpan {
    let due = [timer, monitor.map(ConnectionMonitor::next_check_at)];
    let next = due.into_iter().flatten().min();
    next.map_or(IDLE_WAIT, |at| at - now)
}

impl Drop for GenerationRelay {
    /// Cancels the call if its caller disconnected, which drops the relay before it has ended.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (target, generation) = (self.machine.target(), self.machine.generation());
        if let (Some(target), Some(generation)) = (target, generation) {
            self.cancel(target, generation.clone());
        }
        self.record(EventKind::CallerGone, "");
        self.context.metrics.count_outcome("caller_gone");
        if self.placement != PlacementState::None {
            self.context.sched.cancel(self.request().clone());
        }
    }
}
