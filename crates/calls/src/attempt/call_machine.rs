use base::{ClockTime, ErrorKind, GenerationId, RanState, TargetName, TimeSpan};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::{
    AnswerMode, AttemptState, CallAction, CallEvent, CallFailure, CallPlan, EndVerdict, LinkNumber,
    StreamTracker, TokenVerdict,
};

/// What the pending timer of the machine is for, besides the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WakeReason {
    Retry,
    Resume,
    ConnectTimeout,
}

/// Decides the attempts of one call.
///
/// The I/O shell feeds events and carries out the actions in order. Three rules bind the shell:
/// it tells `FirstByteSent` before it hands the first byte of the request to a socket, it writes
/// the request only while [`current_link`](Self::current_link) is that connection, and it gives
/// every connection of a call the number from the action that opened it.
///
/// ```
/// use base::ClockTime;
/// use calls::{CallAction, CallEvent, CallMachine, CallPlan};
///
/// let now = ClockTime::ZERO;
/// let mut out = Vec::new();
/// let mut machine = CallMachine::new(CallPlan::new("r1".parse().unwrap()));
/// machine.start(now, &mut out);
/// assert!(matches!(out[0], CallAction::ChooseTarget { retry: false, .. }));
/// out.clear();
/// machine.on_event(now, CallEvent::TargetChosen { target: "e1".parse().unwrap() }, &mut out);
/// let CallAction::Connect { link, .. } = out[0] else { panic!() };
/// machine.on_event(now, CallEvent::Connected { link }, &mut out);
/// machine.on_event(now, CallEvent::FirstByteSent { link }, &mut out);
/// out.clear();
/// machine.on_event(now, CallEvent::Token { link, generation: "g1", offset: 0, len: 1 }, &mut out);
/// machine.on_event(now, CallEvent::EndOfStream { link, generation: "g1", count: 1 }, &mut out);
/// assert_eq!(out[0], CallAction::Deliver { offset: 0, len: 1 });
/// assert_eq!(out.last(), Some(&CallAction::Finish { count: 1 }));
/// ```
#[derive(Debug)]
pub struct CallMachine {
    plan: CallPlan,
    state: AttemptState,
    target: Option<TargetName>,
    tried: Vec<TargetName>,
    tracker: Option<StreamTracker>,
    link: LinkNumber,
    link_open: bool,
    attempts: u32,
    resumes: u32,
    /// Run state of the earlier attempts and of the current one.
    earlier_ran: RanState,
    current_ran: RanState,
    /// The caller has a part of the answer, so that no other generation may follow.
    committed: bool,
    detached: bool,
    awaits_target: bool,
    wake: Option<(ClockTime, WakeReason)>,
    retry_after: Option<TimeSpan>,
    random: Pcg32,
}

/// A run that is certain outweighs an unknown one, which outweighs none.
fn join_ran(left: RanState, right: RanState) -> RanState {
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
            link: LinkNumber(0),
            link_open: false,
            attempts: 0,
            resumes: 0,
            earlier_ran: RanState::No,
            current_ran: RanState::No,
            committed: false,
            detached: false,
            awaits_target: false,
            wake: None,
            retry_after: None,
            random,
        }
    }

    /// Starts the first attempt or continues the generation of the plan.
    pub fn start(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        if let Some(point) = self.plan.resume.take() {
            self.target = Some(point.target);
            self.tracker = Some(StreamTracker::new(point.generation, point.next));
            self.state = AttemptState::Streaming;
            self.current_ran = RanState::Yes;
            self.committed = true;
            self.open_resume(now, out);
            return;
        }
        self.choose(false, out);
        self.set_timer(out);
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

    /// Generation that answers the call.
    pub fn generation(&self) -> Option<&GenerationId> {
        self.tracker.as_ref().map(StreamTracker::generation)
    }

    /// Offset of the next token that the caller lacks.
    pub fn next_offset(&self) -> u64 {
        self.tracker.as_ref().map_or(0, StreamTracker::next)
    }

    /// The connection in use, if any.
    pub fn current_link(&self) -> Option<LinkNumber> {
        self.link_open.then_some(self.link)
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether the request ran, as far as is known now.
    pub fn ran(&self) -> RanState {
        join_ran(self.earlier_ran, self.current_ran)
    }

    /// Takes one event and appends the actions that follow from it.
    pub fn on_event(&mut self, now: ClockTime, event: CallEvent<'_>, out: &mut Vec<CallAction>) {
        if self.state == AttemptState::Done {
            if matches!(event, CallEvent::Token { .. }) {
                out.push(CallAction::Drop);
            }
            return;
        }
        match event {
            CallEvent::Token {
                link,
                generation,
                offset,
                len,
            } => self.on_token(now, link, generation, (offset, len), out),
            CallEvent::TargetChosen { target } => self.on_target(now, target, out),
            CallEvent::NoTarget { kind, retry_after } => self.on_no_target(kind, retry_after, out),
            CallEvent::RetryRefused { retry_after } => {
                self.on_no_target(ErrorKind::RetriesExhausted, retry_after, out);
            }
            CallEvent::AnswerCommitted => self.committed = true,
            CallEvent::CallerGone => self.on_caller_gone(out),
            CallEvent::DeadlineReached => self.on_deadline(out),
            CallEvent::Timer => self.on_timer(now, out),
            CallEvent::TargetDied { target } => {
                if self.target.as_ref() == Some(&target) {
                    self.on_target_died(now, out);
                }
            }
            CallEvent::Connected { link }
            | CallEvent::ConnectFailed { link }
            | CallEvent::FirstByteSent { link }
            | CallEvent::NotAdmitted { link, .. }
            | CallEvent::Accepted { link, .. }
            | CallEvent::EndOfStream { link, .. }
            | CallEvent::LinkLost { link }
            | CallEvent::LinkSilent { link }
            | CallEvent::TargetFailed { link, .. }
            | CallEvent::ResumeRefused { link } => {
                if self.current_link() == Some(link) {
                    self.on_link_event(now, event, out);
                }
            }
        }
    }

    fn on_link_event(&mut self, now: ClockTime, event: CallEvent<'_>, out: &mut Vec<CallAction>) {
        match event {
            CallEvent::Connected { .. } => self.on_connected(now, out),
            CallEvent::ConnectFailed { .. } => self.on_connect_failed(now, out),
            CallEvent::FirstByteSent { .. } => self.on_first_byte(),
            CallEvent::NotAdmitted { retry_after, .. } => {
                self.on_not_admitted(now, retry_after, out);
            }
            CallEvent::Accepted { generation, .. } => {
                self.on_first_byte();
                self.on_accepted(now, generation, out);
            }
            CallEvent::EndOfStream {
                generation, count, ..
            } => {
                self.on_first_byte();
                self.on_end(now, generation, count, out);
            }
            CallEvent::LinkLost { .. } | CallEvent::LinkSilent { .. } => {
                self.on_link_lost(now, out);
            }
            CallEvent::TargetFailed { .. } => {
                self.on_first_byte();
                self.on_target_failed(now, out);
            }
            CallEvent::ResumeRefused { .. } => self.lose_generation(now, out),
            _ => {}
        }
    }

    fn on_token(
        &mut self,
        now: ClockTime,
        link: LinkNumber,
        generation: &str,
        (offset, len): (u64, u32),
        out: &mut Vec<CallAction>,
    ) {
        if self.current_link() != Some(link) {
            out.push(CallAction::Drop);
            return;
        }
        self.on_first_byte();
        if self.tracker.is_none() && !self.begin_generation(generation) {
            out.push(CallAction::Drop);
            self.on_target_failed(now, out);
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
                out.push(CallAction::Deliver { offset, len });
            }
            TokenVerdict::Duplicate | TokenVerdict::Foreign => out.push(CallAction::Drop),
            TokenVerdict::Gap => {
                out.push(CallAction::Drop);
                self.resume(now, out);
            }
        }
    }

    fn on_target(&mut self, now: ClockTime, target: TargetName, out: &mut Vec<CallAction>) {
        if !self.awaits_target {
            return;
        }
        self.awaits_target = false;
        self.attempts += 1;
        self.state = AttemptState::Connecting;
        self.current_ran = RanState::No;
        self.target = Some(target.clone());
        self.open_link();
        out.push(CallAction::Connect {
            link: self.link,
            target,
        });
        self.wake_in(
            now,
            self.plan.policy.connect_timeout,
            WakeReason::ConnectTimeout,
        );
        self.set_timer(out);
    }

    fn on_no_target(
        &mut self,
        kind: ErrorKind,
        retry_after: Option<TimeSpan>,
        out: &mut Vec<CallAction>,
    ) {
        if !self.awaits_target {
            return;
        }
        self.retry_after = retry_after.or(self.retry_after);
        self.fail(kind, out);
    }

    fn on_connected(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        self.wake = None;
        self.set_timer(out);
        if self.state != AttemptState::Connecting {
            return;
        }
        let Some(target) = self.target.clone() else {
            return;
        };
        out.push(CallAction::Send {
            link: self.link,
            target,
            time_left: self.plan.deadline.map(|deadline| deadline - now),
        });
    }

    fn on_connect_failed(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Connecting => self.attempt_did_not_run(now, ErrorKind::TargetLost, out),
            _ => self.on_link_lost(now, out),
        }
    }

    /// Also called for an answer, which proves that the request was sent.
    fn on_first_byte(&mut self) {
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
        out: &mut Vec<CallAction>,
    ) {
        if self.state > AttemptState::Sent {
            self.on_target_failed(now, out);
            return;
        }
        self.retry_after = retry_after.or(self.retry_after);
        self.attempt_did_not_run(now, ErrorKind::Overloaded, out);
    }

    fn on_accepted(&mut self, now: ClockTime, generation: &str, out: &mut Vec<CallAction>) {
        let known = self.generation().map(GenerationId::as_str);
        let fits = match known {
            Some(known) => known == generation,
            None => self.begin_generation(generation),
        };
        if !fits {
            self.on_target_failed(now, out);
        }
    }

    /// Binds the attempt to the generation that answers it; fails on an invalid name.
    fn begin_generation(&mut self, generation: &str) -> bool {
        let Ok(generation) = generation.parse() else {
            return false;
        };
        self.tracker = Some(StreamTracker::new(generation, 0));
        self.state = AttemptState::Accepted;
        self.current_ran = RanState::Yes;
        true
    }

    fn on_end(&mut self, now: ClockTime, generation: &str, count: u64, out: &mut Vec<CallAction>) {
        if self.tracker.is_none() && !self.begin_generation(generation) {
            self.on_target_failed(now, out);
            return;
        }
        let Some(tracker) = &self.tracker else {
            return;
        };
        match tracker.end(generation, count) {
            EndVerdict::Complete => {
                self.close_link(out);
                self.state = AttemptState::Done;
                out.push(CallAction::Finish { count });
            }
            EndVerdict::Gap => self.resume(now, out),
            EndVerdict::Impossible => self.lose_generation(now, out),
            EndVerdict::Foreign => {}
        }
    }

    fn on_link_lost(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Connecting => self.attempt_did_not_run(now, ErrorKind::TargetLost, out),
            AttemptState::Sent => self.attempt_lost(now, ErrorKind::TargetLost, out),
            AttemptState::Accepted | AttemptState::Streaming => self.resume(now, out),
            AttemptState::Planned | AttemptState::Done => {}
        }
    }

    fn on_target_died(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Connecting => self.attempt_did_not_run(now, ErrorKind::TargetLost, out),
            AttemptState::Sent => self.attempt_lost(now, ErrorKind::TargetLost, out),
            AttemptState::Accepted | AttemptState::Streaming => self.lose_generation(now, out),
            AttemptState::Planned | AttemptState::Done => {}
        }
    }

    fn on_target_failed(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        match self.state {
            AttemptState::Sent => self.attempt_lost(now, ErrorKind::TargetFailed, out),
            AttemptState::Accepted | AttemptState::Streaming => self.lose_generation(now, out),
            AttemptState::Planned | AttemptState::Connecting | AttemptState::Done => {}
        }
    }

    fn on_caller_gone(&mut self, out: &mut Vec<CallAction>) {
        if self.plan.uninterruptible && self.ran() != RanState::No {
            self.detached = true;
            return;
        }
        self.cancel_generation(out);
        self.close_link(out);
        self.state = AttemptState::Done;
        out.push(CallAction::Abandon { ran: self.ran() });
    }

    fn on_deadline(&mut self, out: &mut Vec<CallAction>) {
        self.plan.deadline = None;
        if self.plan.uninterruptible && self.ran() != RanState::No {
            if !self.detached {
                self.detached = true;
                out.push(CallAction::Detach(
                    self.failure(ErrorKind::DeadlineExceeded),
                ));
            }
            self.set_timer(out);
            return;
        }
        self.fail(ErrorKind::DeadlineExceeded, out);
    }

    fn on_timer(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        if self.plan.deadline.is_some_and(|deadline| deadline <= now) {
            self.on_deadline(out);
            if self.state == AttemptState::Done {
                return;
            }
        }
        let due = self.wake.filter(|(at, _)| *at <= now);
        if due.is_some() {
            self.wake = None;
        }
        match due.map(|(_, reason)| reason) {
            Some(WakeReason::Retry) => self.choose(true, out),
            Some(WakeReason::Resume) => self.open_resume(now, out),
            Some(WakeReason::ConnectTimeout) => self.on_connect_failed(now, out),
            None => self.set_timer(out),
        }
    }

    /// The attempt certainly did not run, so another target may be tried in any case.
    fn attempt_did_not_run(&mut self, now: ClockTime, kind: ErrorKind, out: &mut Vec<CallAction>) {
        self.current_ran = RanState::No;
        self.close_link(out);
        self.retry(now, kind, out);
    }

    /// The attempt may have run, so only a repeatable call may try again.
    fn attempt_lost(&mut self, now: ClockTime, kind: ErrorKind, out: &mut Vec<CallAction>) {
        if !self.may_rerun() {
            self.fail(kind, out);
            return;
        }
        self.cancel_generation(out);
        self.close_link(out);
        self.earlier_ran = self.ran();
        self.current_ran = RanState::No;
        let collected = self
            .tracker
            .take()
            .is_some_and(|tracker| tracker.next() > 0);
        if collected {
            out.push(CallAction::DiscardAnswer);
        }
        self.retry(now, kind, out);
    }

    fn lose_generation(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        let kind = match self.committed {
            true => ErrorKind::GenerationLost,
            false => ErrorKind::TargetLost,
        };
        self.attempt_lost(now, kind, out);
    }

    fn may_rerun(&self) -> bool {
        self.plan.repeatable && !self.committed && !self.detached
    }

    fn retry(&mut self, now: ClockTime, kind: ErrorKind, out: &mut Vec<CallAction>) {
        self.tried.extend(self.target.take());
        self.state = AttemptState::Planned;
        if self.attempts >= self.plan.policy.attempt_limit {
            self.fail(kind, out);
            return;
        }
        let delay = self
            .plan
            .policy
            .backoff
            .delay(self.attempts, &mut self.random);
        let passes_deadline = |deadline: ClockTime| now + delay >= deadline;
        if self.plan.deadline.is_some_and(passes_deadline) {
            self.fail(kind, out);
            return;
        }
        self.wake_in(now, delay, WakeReason::Retry);
        self.set_timer(out);
    }

    fn resume(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        if !self.plan.resumable || self.resumes >= self.plan.policy.resume_limit {
            self.lose_generation(now, out);
            return;
        }
        self.close_link(out);
        self.resumes += 1;
        // The first resume is immediate; an engine that answers with nothing new gets time.
        if self.resumes == 1 {
            self.open_resume(now, out);
            return;
        }
        let delay = self
            .plan
            .policy
            .backoff
            .delay(self.resumes - 1, &mut self.random);
        self.wake_in(now, delay, WakeReason::Resume);
        self.set_timer(out);
    }

    fn open_resume(&mut self, now: ClockTime, out: &mut Vec<CallAction>) {
        let (Some(target), Some(tracker)) = (self.target.clone(), &self.tracker) else {
            return;
        };
        let generation = tracker.generation().clone();
        let offset = tracker.next();
        self.open_link();
        out.push(CallAction::Resume {
            link: self.link,
            target,
            generation,
            offset,
        });
        self.wake_in(
            now,
            self.plan.policy.connect_timeout,
            WakeReason::ConnectTimeout,
        );
        self.set_timer(out);
    }

    fn choose(&mut self, retry: bool, out: &mut Vec<CallAction>) {
        self.awaits_target = true;
        out.push(CallAction::ChooseTarget {
            exclude: self.tried.clone(),
            retry,
        });
    }

    fn failure(&self, kind: ErrorKind) -> CallFailure {
        CallFailure::new(kind)
            .with_ran(self.ran())
            .with_retry_after(self.retry_after)
    }

    fn fail(&mut self, kind: ErrorKind, out: &mut Vec<CallAction>) {
        if !self.plan.uninterruptible {
            self.cancel_generation(out);
        }
        self.close_link(out);
        self.state = AttemptState::Done;
        out.push(CallAction::Fail(self.failure(kind)));
    }

    fn cancel_generation(&mut self, out: &mut Vec<CallAction>) {
        let (Some(target), Some(tracker)) = (&self.target, &self.tracker) else {
            return;
        };
        out.push(CallAction::Cancel {
            target: target.clone(),
            generation: tracker.generation().clone(),
        });
    }

    fn open_link(&mut self) {
        self.link = LinkNumber(self.link.0 + 1);
        self.link_open = true;
    }

    fn close_link(&mut self, out: &mut Vec<CallAction>) {
        self.wake = None;
        if self.link_open {
            self.link_open = false;
            out.push(CallAction::CloseLink { link: self.link });
        }
    }

    fn wake_in(&mut self, now: ClockTime, span: TimeSpan, reason: WakeReason) {
        self.wake = Some((now + span, reason));
    }

    fn set_timer(&self, out: &mut Vec<CallAction>) {
        let wake = self.wake.map(|(at, _)| at);
        let at = match (wake, self.plan.deadline) {
            (Some(wake), Some(deadline)) => Some(wake.min(deadline)),
            (wake, deadline) => wake.or(deadline),
        };
        if let Some(at) = at {
            out.push(CallAction::SetTimer { at });
        }
    }
}
