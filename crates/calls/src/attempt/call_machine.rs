use base::{ClockTime, ErrorKind, GenerationId, RanState, TargetName, TimeSpan};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::{
    AnswerMode, AttemptState, CallAction, CallEvent, CallFailure, CallPlan, ConnectionNumber,
    EndVerdict, StreamTracker, TokenVerdict,
};

/// Purpose of the machine's pending timer, other than the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WakeReason {
    Retry,
    Resume,
    ConnectTimeout,
}

/// State machine that decides the attempts, retries and resumes of one call, without doing I/O.
///
/// The I/O code that drives it feeds events and carries out the returned actions in order. It must
/// report `FirstByteSent` before it hands the first byte of the request to a socket, write the
/// request only while [`current_connection`](Self::current_connection) is that connection, and give
/// every connection of a call the number from the action that opened it.
///
/// ```
/// use base::ClockTime;
/// use calls::{CallAction, CallEvent, CallMachine, CallPlan};
///
/// let now = ClockTime::ZERO;
/// let mut actions = Vec::new();
/// let mut machine = CallMachine::new(CallPlan::new("r1".parse().unwrap()));
/// machine.start(now, &mut actions);
/// assert!(matches!(actions[0], CallAction::ChooseTarget { retry: false, .. }));
/// actions.clear();
/// machine.on_event(now, CallEvent::TargetChosen { target: "e1".parse().unwrap() }, &mut actions);
/// let CallAction::Connect { connection, .. } = actions[0] else { panic!() };
/// machine.on_event(now, CallEvent::Connected { connection }, &mut actions);
/// machine.on_event(now, CallEvent::FirstByteSent { connection }, &mut actions);
/// actions.clear();
/// let generation = "g1";
/// let token = CallEvent::Token { connection, generation, offset: 0, len: 1 };
/// machine.on_event(now, token, &mut actions);
/// let end = CallEvent::EndOfStream { connection, generation, count: 1 };
/// machine.on_event(now, end, &mut actions);
/// assert_eq!(actions[0], CallAction::Deliver { offset: 0, len: 1 });
/// assert_eq!(actions.last(), Some(&CallAction::Finish { count: 1 }));
/// ```
#[derive(Debug)]
pub struct CallMachine {
    plan: CallPlan,
    state: AttemptState,
    target: Option<TargetName>,
    tried: Vec<TargetName>,
    tracker: Option<StreamTracker>,
    connection: ConnectionNumber,
    connection_open: bool,
    attempts: u32,
    resumes: u32,
    /// Whether any earlier attempt ran.
    earlier_ran: RanState,
    /// Whether the current attempt ran.
    current_ran: RanState,
    /// The caller has part of the answer, so that no other generation may replace it.
    committed: bool,
    /// The caller was answered or has disconnected, while the work continues.
    detached: bool,
    awaiting_target: bool,
    wake: Option<(ClockTime, WakeReason)>,
    retry_after: Option<TimeSpan>,
    random: Pcg32,
}

/// Combines the run states of two attempts: `Yes` takes precedence over `Unknown`, `Unknown` over
/// `No`.
fn combine_ran(left: RanState, right: RanState) -> RanState {
    match (left, right) {
        (RanState::Yes, _) | (_, RanState::Yes) => RanState::Yes,
        (RanState::Unknown, _) | (_, RanState::Unknown) => RanState::Unknown,
        (RanState::No, RanState::No) => RanState::No,
    }
}

impl CallMachine {
    /// Creates the machine of one call.
    pub fn new(plan: CallPlan) -> Self {
        let random = Pcg32::seed_from_u64(plan.seed);
        Self {
            plan,
            state: AttemptState::Planned,
            target: None,
            tried: Vec::new(),
            tracker: None,
            connection: ConnectionNumber(0),
            connection_open: false,
            attempts: 0,
            resumes: 0,
            earlier_ran: RanState::No,
            current_ran: RanState::No,
            committed: false,
            detached: false,
            awaiting_target: false,
            wake: None,
            retry_after: None,
            random,
        }
    }

    /// Starts the first attempt, or resumes the generation given in the plan.
    pub fn start(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        if let Some(point) = self.plan.resume.take() {
            self.target = Some(point.target);
            self.tracker = Some(StreamTracker::new(point.generation, point.next_offset));
            self.state = AttemptState::Streaming;
            self.current_ran = RanState::Yes;
            self.committed = true;
            self.start_resume(now, actions);
            return;
        }
        self.request_target(false, actions);
        self.set_timer(actions);
    }

    /// State of the current attempt.
    pub fn state(&self) -> AttemptState {
        self.state
    }

    /// The plan of the call.
    pub fn plan(&self) -> &CallPlan {
        &self.plan
    }

    /// Target of the current attempt.
    pub fn target(&self) -> Option<&TargetName> {
        self.target.as_ref()
    }

    /// Generation that answers the call, once it is known.
    pub fn generation(&self) -> Option<&GenerationId> {
        self.tracker.as_ref().map(StreamTracker::generation)
    }

    /// Offset of the next expected token.
    pub fn next_offset(&self) -> u64 {
        self.tracker.as_ref().map_or(0, StreamTracker::next_offset)
    }

    /// Number of the open connection, if any.
    pub fn current_connection(&self) -> Option<ConnectionNumber> {
        self.connection_open.then_some(self.connection)
    }

    /// Number of attempts started so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether any attempt of the request ran, as far as is known now.
    pub fn ran(&self) -> RanState {
        combine_ran(self.earlier_ran, self.current_ran)
    }

    /// Handles one event and appends the resulting actions.
    pub fn on_event(
        &mut self,
        now: ClockTime,
        event: CallEvent<'_>,
        actions: &mut Vec<CallAction>,
    ) {
        if self.state == AttemptState::Done {
            if matches!(event, CallEvent::Token { .. }) {
                actions.push(CallAction::Drop);
            }
            return;
        }
        match event {
            CallEvent::Token {
                connection,
                generation,
                offset,
                len,
            } => self.on_token(now, connection, generation, (offset, len), actions),
            CallEvent::TargetChosen { target } => self.on_target_chosen(now, target, actions),
            CallEvent::NoTarget { kind, retry_after } => {
                self.on_no_target(kind, retry_after, actions)
            }
            CallEvent::RetryRefused { retry_after } => {
                self.on_no_target(ErrorKind::RetriesExhausted, retry_after, actions);
            }
            CallEvent::AnswerCommitted => self.committed = true,
            CallEvent::CallerGone => self.on_caller_gone(actions),
            CallEvent::DeadlineReached => self.on_deadline(actions),
            CallEvent::Timer => self.on_timer(now, actions),
            CallEvent::TargetDied { target } => {
                if self.target.as_ref() == Some(&target) {
                    self.on_target_died(now, actions);
                }
            }
            CallEvent::Connected { connection }
            | CallEvent::ConnectFailed { connection }
            | CallEvent::FirstByteSent { connection }
            | CallEvent::NotAdmitted { connection, .. }
            | CallEvent::Accepted { connection, .. }
            | CallEvent::EndOfStream { connection, .. }
            | CallEvent::ConnectionLost { connection }
            | CallEvent::ConnectionSilent { connection }
            | CallEvent::TargetFailed { connection, .. }
            | CallEvent::ResumeRefused { connection } => {
                if self.current_connection() == Some(connection) {
                    self.on_connection_event(now, event, actions);
                }
            }
        }
    }

    fn on_connection_event(
        &mut self,
        now: ClockTime,
        event: CallEvent<'_>,
        actions: &mut Vec<CallAction>,
    ) {
        match event {
            CallEvent::Connected { .. } => self.on_connected(now, actions),
            CallEvent::ConnectFailed { .. } => self.on_connect_failed(now, actions),
            CallEvent::FirstByteSent { .. } => self.mark_sent(),
            CallEvent::NotAdmitted { retry_after, .. } => {
                self.on_not_admitted(now, retry_after, actions);
            }
            CallEvent::Accepted { generation, .. } => {
                self.mark_sent();
                self.on_accepted(now, generation, actions);
            }
            CallEvent::EndOfStream {
                generation, count, ..
            } => {
                self.mark_sent();
                self.on_end(now, generation, count, actions);
            }
            CallEvent::ConnectionLost { .. } | CallEvent::ConnectionSilent { .. } => {
                self.on_connection_lost(now, actions);
            }
            CallEvent::TargetFailed { .. } => {
                self.mark_sent();
                self.on_target_failed(now, actions);
            }
            CallEvent::ResumeRefused { .. } => self.on_generation_lost(now, actions),
            _ => {}
        }
    }

    fn on_token(
        &mut self,
        now: ClockTime,
        connection: ConnectionNumber,
        generation: &str,
        (offset, len): (u64, u32),
        actions: &mut Vec<CallAction>,
    ) {
        if self.current_connection() != Some(connection) {
            actions.push(CallAction::Drop);
            return;
        }
        self.mark_sent();
        if self.tracker.is_none() && !self.begin_generation(generation) {
            actions.push(CallAction::Drop);
            self.on_target_failed(now, actions);
            return;
        }
        let Some(tracker) = self.tracker.as_mut() else {
            return;
        };
        match tracker.accept(generation, offset, len) {
            TokenVerdict::Deliver => {
                self.state = AttemptState::Streaming;
                self.resumes = 0;
                self.committed |= self.plan.mode == AnswerMode::Streamed;
                actions.push(CallAction::Deliver { offset, len });
            }
            TokenVerdict::Duplicate | TokenVerdict::OtherGeneration => {
                actions.push(CallAction::Drop)
            }
            TokenVerdict::Gap => {
                actions.push(CallAction::Drop);
                self.resume(now, actions);
            }
        }
    }

    fn on_target_chosen(
        &mut self,
        now: ClockTime,
        target: TargetName,
        actions: &mut Vec<CallAction>,
    ) {
        if !self.awaiting_target {
            return;
        }
        self.awaiting_target = false;
        self.attempts += 1;
        self.state = AttemptState::Connecting;
        self.current_ran = RanState::No;
        self.target = Some(target.clone());
        self.open_connection();
        actions.push(CallAction::Connect {
            connection: self.connection,
            target,
        });
        self.schedule_wake(
            now,
            self.plan.policy.connect_timeout,
            WakeReason::ConnectTimeout,
        );
        self.set_timer(actions);
    }

    fn on_no_target(
        &mut self,
        kind: ErrorKind,
        retry_after: Option<TimeSpan>,
        actions: &mut Vec<CallAction>,
    ) {
        if !self.awaiting_target {
            return;
        }
        self.retry_after = retry_after.or(self.retry_after);
        self.fail(kind, actions);
    }

    fn on_connected(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        self.wake = None;
        self.set_timer(actions);
        if self.state != AttemptState::Connecting {
            return;
        }
        let Some(target) = self.target.clone() else {
            return;
        };
        actions.push(CallAction::Send {
            connection: self.connection,
            target,
            time_left: self.plan.deadline.map(|deadline| deadline - now),
        });
    }

    fn on_connect_failed(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Connecting => {
                self.on_attempt_not_run(now, ErrorKind::TargetLost, actions)
            }
            _ => self.on_connection_lost(now, actions),
        }
    }

    /// Records that the request may have reached the target. Also called when an answer arrives,
    /// since that proves that the request was sent.
    fn mark_sent(&mut self) {
        if self.state == AttemptState::Connecting {
            self.wake = None;
            self.state = AttemptState::Sent;
            self.current_ran = RanState::Unknown;
        }
    }

    fn on_not_admitted(
        &mut self,
        now: ClockTime,
        retry_after: Option<TimeSpan>,
        actions: &mut Vec<CallAction>,
    ) {
        if self.state > AttemptState::Sent {
            self.on_target_failed(now, actions);
            return;
        }
        self.retry_after = retry_after.or(self.retry_after);
        self.on_attempt_not_run(now, ErrorKind::Overloaded, actions);
    }

    fn on_accepted(&mut self, now: ClockTime, generation: &str, actions: &mut Vec<CallAction>) {
        let known = self.generation().map(GenerationId::as_str);
        let matches = match known {
            Some(known) => known == generation,
            None => self.begin_generation(generation),
        };
        if !matches {
            self.on_target_failed(now, actions);
        }
    }

    /// Starts tracking the generation that answers the attempt; returns `false` if its id is
    /// invalid.
    fn begin_generation(&mut self, generation: &str) -> bool {
        let Ok(generation) = generation.parse() else {
            return false;
        };
        self.tracker = Some(StreamTracker::new(generation, 0));
        self.state = AttemptState::Accepted;
        self.current_ran = RanState::Yes;
        true
    }

    fn on_end(
        &mut self,
        now: ClockTime,
        generation: &str,
        count: u64,
        actions: &mut Vec<CallAction>,
    ) {
        if self.tracker.is_none() && !self.begin_generation(generation) {
            self.on_target_failed(now, actions);
            return;
        }
        let Some(tracker) = &self.tracker else {
            return;
        };
        match tracker.check_end(generation, count) {
            EndVerdict::Complete => {
                self.close_connection(actions);
                self.state = AttemptState::Done;
                actions.push(CallAction::Finish { count });
            }
            EndVerdict::Gap => self.resume(now, actions),
            EndVerdict::CountTooLow => self.on_generation_lost(now, actions),
            EndVerdict::OtherGeneration => {}
        }
    }

    fn on_connection_lost(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Connecting => {
                self.on_attempt_not_run(now, ErrorKind::TargetLost, actions)
            }
            AttemptState::Sent => self.on_attempt_lost(now, ErrorKind::TargetLost, actions),
            AttemptState::Accepted | AttemptState::Streaming => self.resume(now, actions),
            AttemptState::Planned | AttemptState::Done => {}
        }
    }

    fn on_target_died(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Connecting => {
                self.on_attempt_not_run(now, ErrorKind::TargetLost, actions)
            }
            AttemptState::Sent => self.on_attempt_lost(now, ErrorKind::TargetLost, actions),
            AttemptState::Accepted | AttemptState::Streaming => {
                self.on_generation_lost(now, actions)
            }
            AttemptState::Planned | AttemptState::Done => {}
        }
    }

    fn on_target_failed(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Sent => self.on_attempt_lost(now, ErrorKind::TargetFailed, actions),
            AttemptState::Accepted | AttemptState::Streaming => {
                self.on_generation_lost(now, actions)
            }
            AttemptState::Planned | AttemptState::Connecting | AttemptState::Done => {}
        }
    }

    fn on_caller_gone(&mut self, actions: &mut Vec<CallAction>) {
        if self.plan.uninterruptible && self.ran() != RanState::No {
            self.detached = true;
            return;
        }
        self.cancel_generation(actions);
        self.close_connection(actions);
        self.state = AttemptState::Done;
        actions.push(CallAction::Abandon { ran: self.ran() });
    }

    fn on_deadline(&mut self, actions: &mut Vec<CallAction>) {
        self.plan.deadline = None;
        if self.plan.uninterruptible && self.ran() != RanState::No {
            if !self.detached {
                self.detached = true;
                actions.push(CallAction::Detach(
                    self.failure(ErrorKind::DeadlineExceeded),
                ));
            }
            self.set_timer(actions);
            return;
        }
        self.fail(ErrorKind::DeadlineExceeded, actions);
    }

    fn on_timer(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        if self.plan.deadline.is_some_and(|deadline| deadline <= now) {
            self.on_deadline(actions);
            if self.state == AttemptState::Done {
                return;
            }
        }
        let due = self.wake.filter(|(at, _)| *at <= now);
        if due.is_some() {
            self.wake = None;
        }
        match due.map(|(_, reason)| reason) {
            Some(WakeReason::Retry) => self.request_target(true, actions),
            Some(WakeReason::Resume) => self.start_resume(now, actions),
            Some(WakeReason::ConnectTimeout) => self.on_connect_failed(now, actions),
            None => self.set_timer(actions),
        }
    }

    /// The attempt certainly did not run, so any call may be retried on another target.
    fn on_attempt_not_run(
        &mut self,
        now: ClockTime,
        kind: ErrorKind,
        actions: &mut Vec<CallAction>,
    ) {
        self.current_ran = RanState::No;
        self.close_connection(actions);
        self.retry(now, kind, actions);
    }

    /// The attempt may have run, so only a repeatable call may be retried.
    fn on_attempt_lost(&mut self, now: ClockTime, kind: ErrorKind, actions: &mut Vec<CallAction>) {
        if !self.can_retry_after_run() {
            self.fail(kind, actions);
            return;
        }
        self.cancel_generation(actions);
        self.close_connection(actions);
        self.earlier_ran = self.ran();
        self.current_ran = RanState::No;
        let has_tokens = self
            .tracker
            .take()
            .is_some_and(|tracker| tracker.next_offset() > 0);
        if has_tokens {
            actions.push(CallAction::DiscardAnswer);
        }
        self.retry(now, kind, actions);
    }

    /// The generation cannot be continued; the call is retried if that is allowed and fails
    /// otherwise.
    fn on_generation_lost(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        let kind = match self.committed {
            true => ErrorKind::GenerationLost,
            false => ErrorKind::TargetLost,
        };
        self.on_attempt_lost(now, kind, actions);
    }

    /// Tells whether the call may be retried although an attempt may have run.
    fn can_retry_after_run(&self) -> bool {
        self.plan.repeatable && !self.committed && !self.detached
    }

    /// Schedules another attempt after a backoff delay, or fails the call if a limit is reached.
    fn retry(&mut self, now: ClockTime, kind: ErrorKind, actions: &mut Vec<CallAction>) {
        self.tried.extend(self.target.take());
        self.state = AttemptState::Planned;
        if self.attempts >= self.plan.policy.attempt_limit {
            self.fail(kind, actions);
            return;
        }
        let delay = self
            .plan
            .policy
            .backoff
            .delay(self.attempts, &mut self.random);
        let passes_deadline = |deadline: ClockTime| now + delay >= deadline;
        if self.plan.deadline.is_some_and(passes_deadline) {
            self.fail(kind, actions);
            return;
        }
        self.schedule_wake(now, delay, WakeReason::Retry);
        self.set_timer(actions);
    }

    /// Continues the generation on a new connection, unless that is impossible or the limit is
    /// reached.
    fn resume(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        if !self.plan.resumable || self.resumes >= self.plan.policy.resume_limit {
            self.on_generation_lost(now, actions);
            return;
        }
        self.close_connection(actions);
        self.resumes += 1;
        // The first resume is immediate; an engine that then yields no new token gets a backoff
        // delay.
        if self.resumes == 1 {
            self.start_resume(now, actions);
            return;
        }
        let delay = self
            .plan
            .policy
            .backoff
            .delay(self.resumes - 1, &mut self.random);
        self.schedule_wake(now, delay, WakeReason::Resume);
        self.set_timer(actions);
    }

    fn start_resume(&mut self, now: ClockTime, actions: &mut Vec<CallAction>) {
        let (Some(target), Some(tracker)) = (self.target.clone(), &self.tracker) else {
            return;
        };
        let generation = tracker.generation().clone();
        let offset = tracker.next_offset();
        self.open_connection();
        actions.push(CallAction::Resume {
            connection: self.connection,
            target,
            generation,
            offset,
        });
        self.schedule_wake(
            now,
            self.plan.policy.connect_timeout,
            WakeReason::ConnectTimeout,
        );
        self.set_timer(actions);
    }

    fn request_target(&mut self, retry: bool, actions: &mut Vec<CallAction>) {
        self.awaiting_target = true;
        actions.push(CallAction::ChooseTarget {
            exclude: self.tried.clone(),
            retry,
        });
    }

    fn failure(&self, kind: ErrorKind) -> CallFailure {
        CallFailure::new(kind)
            .with_ran(self.ran())
            .with_retry_after(self.retry_after)
    }

    fn fail(&mut self, kind: ErrorKind, actions: &mut Vec<CallAction>) {
        if !self.plan.uninterruptible {
            self.cancel_generation(actions);
        }
        self.close_connection(actions);
        self.state = AttemptState::Done;
        actions.push(CallAction::Fail(self.failure(kind)));
    }

    fn cancel_generation(&mut self, actions: &mut Vec<CallAction>) {
        let (Some(target), Some(tracker)) = (&self.target, &self.tracker) else {
            return;
        };
        actions.push(CallAction::Cancel {
            target: target.clone(),
            generation: tracker.generation().clone(),
        });
    }

    fn open_connection(&mut self) {
        self.connection = ConnectionNumber(self.connection.0 + 1);
        self.connection_open = true;
    }

    fn close_connection(&mut self, actions: &mut Vec<CallAction>) {
        self.wake = None;
        if self.connection_open {
            self.connection_open = false;
            actions.push(CallAction::CloseConnection {
                connection: self.connection,
            });
        }
    }

    fn schedule_wake(&mut self, now: ClockTime, span: TimeSpan, reason: WakeReason) {
        self.wake = Some((now + span, reason));
    }

    fn set_timer(&self, actions: &mut Vec<CallAction>) {
        let wake = self.wake.map(|(at, _)| at);
        let at = match (wake, self.plan.deadline) {
            (Some(wake), Some(deadline)) => Some(wake.min(deadline)),
            (wake, deadline) => wake.or(deadline),
        };
        if let Some(at) = at {
            actions.push(CallAction::SetTimer { at });
        }
    }
}
