use std::sync::Arc;
use std::time::Duration;

use base::{EventKind, TargetName};
use bytes::Bytes;
use entry::{MovePhase, MovePlan, MoveStep, MoveTurn, PlaceNeed, StreamFacts, TargetPhase};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use web::{BodyError, EventFrame, EventSplitter, PooledSender};

use super::CallAudit;
use super::call_input::CallInput;
use super::target_send::{SendEnd, TargetHead, note_answered, note_broken, send_call};
use crate::peer::PeerExchange;
use crate::{CopyAnswer, GatewayCore, PlaceHold, ResumePoint};

/// Largest event in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Pause before a destination is looked for again when none had room.
const MOVE_RETRY: Duration = Duration::from_millis(120);
/// Time without anything to do, after which nothing happens.
const IDLE: Duration = Duration::from_secs(3_600);

/// What a pump works with.
pub struct PumpParts {
    /// State of the node.
    pub core: Arc<GatewayCore>,
    /// The call.
    pub call: CallInput,
    /// Its audit.
    pub audit: CallAudit,
    /// Room on the engine.
    pub hold: PlaceHold,
    /// Stream of the engine.
    pub head: TargetHead,
    /// Where the caller's stream is fed.
    pub sender: mpsc::Sender<Result<Bytes, BodyError>>,
}

/// What happens next to a stream.
enum PumpEvent {
    Frame(Option<Result<Bytes, String>>),
    CallerGone,
    TargetsLeft,
    Copied(CopyAnswer),
    MoveDue,
    DeadlineReached,
}

/// Whether the pump goes on.
enum PumpState {
    Going,
    Ended,
}

/// Part of a stream in the moves off its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TurnState {
    Idle,
    Waiting,
    Moving,
}

/// Feeds the events of a generation to its caller, also while it moves between engines.
pub struct StreamPump {
    core: Arc<GatewayCore>,
    call: CallInput,
    audit: CallAudit,
    hold: PlaceHold,
    body: Option<Incoming>,
    connection: Option<PooledSender>,
    sender: mpsc::Sender<Result<Bytes, BodyError>>,
    splitter: EventSplitter,
    is_framed: bool,
    facts: StreamFacts,
    last_event: Option<SmolStr>,
    last_number: Option<u64>,
    plan: MovePlan,
    next_hold: Option<PlaceHold>,
    copying: Option<JoinHandle<CopyAnswer>>,
    unused_copy: Option<SmolStr>,
    leaving: watch::Receiver<u64>,
    move_due: Instant,
    turn: TurnState,
    full_targets: Vec<TargetName>,
    deadline: Instant,
}

impl StreamPump {
    /// Creates the pump of a stream whose head arrived.
    pub fn new(parts: PumpParts) -> Self {
        let size = parts.call.head.generation;
        let event_tokens = parts.call.engine.map_or(1, |spec| spec.event_tokens.max(1));
        let limit = size.map_or(u32::MAX, |size| size.output_limit.0);
        Self {
            is_framed: parts.head.is_framed(),
            leaving: parts.core.watch_leaving(),
            plan: MovePlan::new(parts.hold.target.clone()),
            facts: StreamFacts {
                first_at: None,
                events: 0,
                event_limit: limit.div_ceil(event_tokens),
            },
            deadline: parts.call.deadline_instant(parts.core.now()),
            move_due: Instant::now() + IDLE,
            turn: TurnState::Idle,
            full_targets: Vec::new(),
            core: parts.core,
            call: parts.call,
            audit: parts.audit,
            hold: parts.hold,
            body: Some(parts.head.response.into_body()),
            connection: Some(parts.head.connection),
            sender: parts.sender,
            splitter: EventSplitter::new(EVENT_LIMIT),
            last_event: None,
            last_number: None,
            next_hold: None,
            copying: None,
            unused_copy: None,
        }
    }

    /// Feeds the stream to its end.
    pub async fn run(mut self) {
        self.core.with_state(|state, _| state.streams += 1);
        loop {
            let event = self.next_event().await;
            if let PumpState::Ended = self.on_event(event).await {
                break;
            }
        }
        self.end_turn();
        self.free_copy();
        self.core.with_state(|state, _| state.streams -= 1);
    }

    async fn next_event(&mut self) -> PumpEvent {
        let body = self.body.as_mut();
        let copying = self.copying.as_mut();
        tokio::select! {
            biased;
            () = self.sender.closed() => PumpEvent::CallerGone,
            frame = next_chunk(body) => PumpEvent::Frame(frame),
            answer = join_copy(copying) => {
                self.copying = None;
                PumpEvent::Copied(answer)
            }
            _ = self.leaving.changed() => PumpEvent::TargetsLeft,
            () = sleep_until(self.move_due) => PumpEvent::MoveDue,
            () = sleep_until(self.deadline) => PumpEvent::DeadlineReached,
        }
    }

    async fn on_event(&mut self, event: PumpEvent) -> PumpState {
        match event {
            PumpEvent::Frame(Some(Ok(chunk))) => self.on_chunk(chunk).await,
            PumpEvent::Frame(Some(Err(reason))) => self.on_broken(reason).await,
            PumpEvent::Frame(None) => self.on_end().await,
            PumpEvent::CallerGone => {
                self.audit.explain("caller closed the stream");
                PumpState::Ended
            }
            PumpEvent::DeadlineReached => {
                self.fail("deadline_exceeded", "deadline reached in the stream");
                PumpState::Ended
            }
            PumpEvent::TargetsLeft | PumpEvent::MoveDue => {
                self.consider_move();
                PumpState::Going
            }
            PumpEvent::Copied(answer) => self.on_copied(answer).await,
        }
    }

    async fn on_chunk(&mut self, chunk: Bytes) -> PumpState {
        self.audit.note_first();
        self.splitter.push(chunk);
        while let Some(block) = self.splitter.next_block() {
            if !self.is_new(&block) {
                continue;
            }
            self.note_progress();
            if self.sender.send(Ok(block)).await.is_err() {
                return PumpState::Ended;
            }
        }
        if self.splitter.is_overfull() {
            self.fail("target_failed", "event too large");
            return PumpState::Ended;
        }
        PumpState::Going
    }

    /// Whether an event was not delivered before, as engines may repeat some after a move.
    fn is_new(&mut self, block: &[u8]) -> bool {
        let frame = EventFrame::parse(block);
        let Some(id) = frame.id.and_then(|id| std::str::from_utf8(id).ok()) else {
            return true;
        };
        let number: Option<u64> = id.parse().ok();
        if number.is_some() && number <= self.last_number {
            return false;
        }
        self.last_number = number.or(self.last_number);
        self.last_event = Some(SmolStr::new(id));
        true
    }

    fn note_progress(&mut self) {
        self.facts.events += 1;
        self.audit.events += 1;
        if self.facts.first_at.is_none() {
            self.facts.first_at = Some(self.core.now());
            self.hold.end_prefill();
            self.consider_move();
        }
    }

    /// The stream ended with its end.
    async fn on_end(&mut self) -> PumpState {
        let is_stopping = !matches!(
            self.plan.phase(),
            MovePhase::Settled | MovePhase::Copying { .. }
        );
        if is_stopping && !self.is_framed {
            // Without framing, a stopped stream looks like a whole one.
            return self.on_broken("stopped".to_owned()).await;
        }
        if self.splitter.has_partial() {
            self.fail("target_lost", "stream ended within an event");
            return PumpState::Ended;
        }
        note_answered(&self.core, &self.call, &self.hold);
        self.audit.finish(200, "answered");
        PumpState::Ended
    }

    /// The stream ended without its end.
    async fn on_broken(&mut self, reason: String) -> PumpState {
        self.body = None;
        self.connection = None;
        self.splitter = EventSplitter::new(EVENT_LIMIT);
        if let Some(step) = self.plan.on_source_closed() {
            return self.carry_out(step).await;
        }
        if self.plan.awaits_stop() {
            return PumpState::Going;
        }
        note_broken(&self.core, &self.call, &self.hold);
        let target = self.hold.target.clone();
        self.fail("generation_lost", &format!("{target} broke off: {reason}"));
        PumpState::Ended
    }

    fn fail(&mut self, outcome: &'static str, reason: &str) {
        self.audit.explain(reason);
        self.audit.finish(200, outcome);
        let error = BodyError::Aborted {
            reason: reason.to_owned(),
        };
        // A full channel means a caller that reads slowly; dropping the sender without an end
        // would look complete, so the error has to get through.
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let _ = sender.send(Err(error)).await;
        });
    }

    /// Starts a move if the engine leaves and another has room.
    fn consider_move(&mut self) {
        self.move_due = Instant::now() + IDLE;
        let now = self.core.now();
        let can_move = self.call.engine.is_some_and(|spec| spec.can_move);
        if !can_move || *self.plan.phase() != MovePhase::Settled {
            return;
        }
        if !self.plan.can_start() || !self.facts.outlives_notice(now) {
            self.end_turn();
            return;
        }
        if self.turn != TurnState::Moving && !self.take_turn() {
            return;
        }
        let source = &self.hold.target;
        let mut load = self.hold.load();
        load.prefill = 0;
        let mut excluded = self.full_targets.clone();
        excluded.push(source.clone());
        let need = PlaceNeed {
            service: self.call.service.clone(),
            engine: self.call.engine,
            load,
            excluded,
            moves_from: Some(self.hold.domain.clone()),
        };
        let Some(next) = self.core.try_acquire(&need) else {
            self.full_targets.clear();
            self.end_turn();
            self.move_due = Instant::now() + MOVE_RETRY;
            return;
        };
        let step = self.plan.start(next.target.clone());
        log::info!(
            event = EventKind::MoveStarted.number(),
            node = self.core.node().as_str(),
            request = self.call.head.request.as_str(),
            source = source.as_str(),
            destination = next.target.as_str(),
            events = self.facts.events,
            tokens = load.tokens;
            "engine leaves"
        );
        self.next_hold = Some(next);
        if let MoveStep::Copy { .. } = step {
            self.spawn_copy(false);
        }
    }

    /// Whether the generation may be moved now; looks again later if it may not yet.
    fn take_turn(&mut self) -> bool {
        let source = self.hold.target.clone();
        let is_queued = self.turn == TurnState::Waiting;
        let taken = self.core.with_state(|state, now| {
            let found = state.board.target(&source);
            if found.is_some_and(|one| one.phase != TargetPhase::Leaving) {
                return None;
            }
            if !is_queued {
                state.turns.join(&source);
            }
            Some((state.turns.take(now, &source), now))
        });
        match taken {
            None => false,
            Some((MoveTurn::Start, _)) => {
                self.turn = TurnState::Moving;
                true
            }
            Some((MoveTurn::Wait(until), now)) => {
                self.turn = TurnState::Waiting;
                self.move_due = Instant::now() + Duration::from(until - now);
                false
            }
        }
    }

    /// Gives up the place or the turn; the last one of this node tells the peers.
    fn end_turn(&mut self) {
        let ended = std::mem::replace(&mut self.turn, TurnState::Idle);
        if ended == TurnState::Idle {
            return;
        }
        let source = self.hold.target.clone();
        let is_finished = self.core.with_state(|state, _| {
            match ended {
                TurnState::Moving => state.turns.end(&source),
                TurnState::Idle | TurnState::Waiting => state.turns.leave(&source),
            }
            state.turns.own_finished().contains(&source)
        });
        self.core.wake_pumps();
        if is_finished {
            PeerExchange::new(self.core.clone()).push_finished(&source);
        }
    }

    fn spawn_copy(&mut self, stops: bool) {
        let Some(next) = &self.next_hold else {
            return;
        };
        let (source, destination) = (self.hold.address, next.address);
        let request = self.call.head.request.clone();
        let engines = self.core.ports.engines.clone();
        self.copying = Some(tokio::spawn(async move {
            engines
                .copy_memory(source, &request, destination, stops)
                .await
        }));
    }

    async fn on_copied(&mut self, answer: CopyAnswer) -> PumpState {
        if let CopyAnswer::Whole { handle } = &answer {
            self.unused_copy = Some(handle.clone());
        }
        let step = match self.plan.phase() {
            MovePhase::Copying { .. } => {
                let is_whole = matches!(answer, CopyAnswer::Whole { .. });
                if !is_whole {
                    self.note_move_failure(&answer);
                }
                Some(self.plan.on_copied(is_whole))
            }
            _ => {
                let (handle, is_whole) = match answer {
                    CopyAnswer::Whole { handle } => (Some(handle), true),
                    CopyAnswer::NoRoom { handle } => (handle, false),
                    CopyAnswer::Unknown | CopyAnswer::Busy | CopyAnswer::Lost { .. } => {
                        self.note_move_failure(&answer);
                        (None, false)
                    }
                };
                let was_closed = self.plan.awaits_stop();
                let step = self.plan.on_stopped(handle, is_whole);
                if was_closed && step == Some(MoveStep::Stay) {
                    self.fail("generation_lost", "engine ended during the move");
                    return PumpState::Ended;
                }
                step
            }
        };
        match step {
            Some(step) => self.carry_out(step).await,
            None => PumpState::Going,
        }
    }

    async fn carry_out(&mut self, step: MoveStep) -> PumpState {
        match step {
            MoveStep::Copy { .. } => self.spawn_copy(false),
            MoveStep::Stop { .. } => self.spawn_copy(true),
            MoveStep::Replace => {
                let full = self.next_hold.take();
                self.full_targets
                    .extend(full.map(|hold| hold.target.clone()));
                self.move_due = Instant::now();
            }
            MoveStep::Stay => {
                self.next_hold = None;
                self.end_turn();
            }
            MoveStep::Resume { at, handle } => return self.resume(at, handle).await,
        }
        PumpState::Going
    }

    /// Sends the call again, so that it goes on from the copy.
    async fn resume(&mut self, at: TargetName, handle: SmolStr) -> PumpState {
        let point = ResumePoint {
            source: self.hold.address,
            handle,
            last_event: self.last_event.clone(),
        };
        self.unused_copy = None;
        let is_elsewhere = at != self.hold.target;
        self.core.with_state(|state, now| {
            let nodes = state.share_count(now);
            // Moves count as second sends; they are never refused, as the generation would be lost.
            state.share.take(now, &self.call.service, nodes)
        });
        if is_elsewhere && let Some(mut next) = self.next_hold.take() {
            let deadline = self.deadline;
            let end = send_call(&self.core, &self.call, &mut next, Some(&point), deadline).await;
            if let Some(reason) = self.take_over(end) {
                self.audit.explain(format!("{at} did not go on: {reason}"));
            } else {
                self.finish_move(next);
                return PumpState::Going;
            }
        }
        self.next_hold = None;
        let deadline = self.deadline;
        let end = send_call(
            &self.core,
            &self.call,
            &mut self.hold,
            Some(&point),
            deadline,
        )
        .await;
        match self.take_over(end) {
            None => {
                self.plan.on_resumed(self.hold.target.clone());
                PumpState::Going
            }
            Some(reason) => {
                self.fail("generation_lost", &format!("no engine went on: {reason}"));
                PumpState::Ended
            }
        }
    }

    /// Reads from a resumed generation; returns why it can't.
    fn take_over(&mut self, end: SendEnd) -> Option<String> {
        let head = match end {
            SendEnd::Head(head) if head.response.status().is_success() => head,
            SendEnd::Head(head) => return Some(format!("status {}", head.response.status())),
            SendEnd::Refused(status) => return Some(format!("refused with {status}")),
            SendEnd::Unsent(reason) | SendEnd::Lost(reason) => return Some(reason),
            SendEnd::TimedOut => return Some("no answer in time".to_owned()),
        };
        self.is_framed = head.is_framed();
        self.body = Some(head.response.into_body());
        self.connection = Some(head.connection);
        None
    }

    fn finish_move(&mut self, next: PlaceHold) {
        self.end_turn();
        log::info!(
            event = EventKind::MoveFinished.number(),
            node = self.core.node().as_str(),
            request = self.call.head.request.as_str(),
            source = self.hold.target.as_str(),
            destination = next.target.as_str(),
            events = self.facts.events;
            "generation goes on"
        );
        self.audit.moves += 1;
        self.audit.note_target(&next.target);
        self.plan.on_resumed(next.target.clone());
        self.hold = next;
        self.full_targets.clear();
        self.consider_move();
    }

    fn note_move_failure(&self, answer: &CopyAnswer) {
        log::info!(
            event = EventKind::MoveFailed.number(),
            node = self.core.node().as_str(),
            request = self.call.head.request.as_str(),
            source = self.hold.target.as_str();
            "{answer:?}"
        );
    }

    /// Frees a copy that was made and not used.
    fn free_copy(&mut self) {
        let Some(handle) = self.unused_copy.take() else {
            return;
        };
        let source = self.hold.address;
        let engines = self.core.ports.engines.clone();
        tokio::spawn(async move { engines.free_copy(source, &handle).await });
    }
}

async fn next_chunk(body: Option<&mut Incoming>) -> Option<Result<Bytes, String>> {
    let Some(body) = body else {
        return std::future::pending().await;
    };
    loop {
        return match body.frame().await? {
            Ok(frame) => match frame.into_data() {
                Ok(data) => Some(Ok(data)),
                Err(_) => continue,
            },
            Err(error) => Some(Err(error.to_string())),
        };
    }
}

async fn join_copy(copying: Option<&mut JoinHandle<CopyAnswer>>) -> CopyAnswer {
    let Some(copying) = copying else {
        return std::future::pending().await;
    };
    copying.await.unwrap_or_else(|error| CopyAnswer::Lost {
        reason: error.to_string(),
    })
}
