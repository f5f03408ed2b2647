use std::time::Duration;

use base::{EventKind, TargetName, TimeSpan};
use entry::{
    MovePhase, MoveSource, MoveStep, MoveTurn, PlacementRequest, PlacementScope, TargetPhase,
};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::move_times::MoveTimes;
use super::stream_pump::{IDLE, PumpState, StreamPump, TurnState};
use super::target_send::{SendEnd, send_call};
use crate::desk::acquire_move;
use crate::peer::PeerExchange;
use crate::{CopyAnswer, PlaceHold, ResumePoint};

/// Pause before a destination is looked for again when none had room.
const MOVE_RETRY: Duration = Duration::from_millis(120);

/// Moves to another engine.
impl StreamPump {
    /// Starts a move if the engine leaves and another has room.
    pub(super) fn consider_move(&mut self) {
        self.move_due = Instant::now() + IDLE;
        let now = self.core.now();
        let can_move = self.call.engine.is_some_and(|spec| spec.can_move);
        if !can_move || *self.plan.phase() != MovePhase::Settled || self.placing.is_some() {
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
        load.incoming = load.tokens;
        let mut excluded = self.full_targets.clone();
        excluded.push(source.clone());
        let need = PlacementRequest {
            service: self.call.service.clone(),
            engine: self.call.engine,
            load,
            is_quick: false,
            excluded,
            move_source: Some(MoveSource {
                target: source.clone(),
                domain: self.hold.domain.clone(),
            }),
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
        };
        let core = self.core.clone();
        self.placing = Some(tokio::spawn(async move { acquire_move(&core, need).await }));
    }

    /// Starts the move to an engine with room, or looks again later.
    pub(super) fn on_placed(&mut self, next: Option<PlaceHold>) {
        let Some(next) = next else {
            self.full_targets.clear();
            self.end_turn();
            self.move_due = Instant::now() + MOVE_RETRY;
            return;
        };
        if let Some(left) = self.quiet_left() {
            self.end_turn();
            self.move_due = Instant::now() + Duration::from(left);
            return;
        }
        let source = &self.hold.target;
        self.core
            .with_state(|state, _| state.turns.begin_copy(source));
        let step = self.plan.start(next.target.clone());
        log::info!(
            event = EventKind::MoveStarted.number(),
            node = self.core.node().as_str(),
            request = self.call.head.request.as_str(),
            source = source.as_str(),
            destination = next.target.as_str(),
            events = self.facts.events,
            tokens = next.load().tokens;
            "engine leaves"
        );
        self.next_hold = Some(next);
        self.move_times = MoveTimes::new(self.core.now());
        if let MoveStep::Copy { .. } = step {
            self.spawn_copy(false);
        }
    }

    /// Time for which the engine of the generation wants no more moves; takes one if it may.
    fn quiet_left(&self) -> Option<TimeSpan> {
        let source = &self.hold.target;
        self.core.with_state(|state, now| {
            let left = state.board.target(source)?.backoff.left(now)?;
            (!state.board.take_move_permit(now, source)).then_some(left)
        })
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
            let turn = match state.move_desk(now, &self.hold.domain) {
                Some(_) => state.turns.take_own(now, &source),
                None => state.turns.take(now, &source),
            };
            Some((turn, now))
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
    pub(super) fn end_turn(&mut self) {
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

    pub(super) async fn on_copied(&mut self, answer: CopyAnswer) -> PumpState {
        self.move_times.end_copy(self.core.now());
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

    pub(super) async fn carry_out(&mut self, step: MoveStep) -> PumpState {
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
        // Moves count as second sends; they are never refused, as the generation would be lost.
        self.core.take_retry(&self.call.service);
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
            SendEnd::Barred(bar) => return Some(bar.to_string()),
            SendEnd::TimedOut => return Some("no answer in time".to_owned()),
        };
        self.is_framed = head.is_framed();
        self.body = Some(head.response.into_body());
        self.connection = Some(head.connection);
        None
    }

    fn finish_move(&mut self, mut next: PlaceHold) {
        self.end_turn();
        next.end_copy();
        let times = &self.move_times;
        log::info!(
            event = EventKind::MoveFinished.number(),
            node = self.core.node().as_str(),
            request = self.call.head.request.as_str(),
            source = self.hold.target.as_str(),
            destination = next.target.as_str(),
            events = self.facts.events,
            copy_ms = times.copy().as_millis(),
            stop_ms = times.stop().as_millis(),
            resume_ms = times.resume(self.core.now()).as_millis();
            "generation goes on"
        );
        self.audit.moves += 1;
        // The generation ran well there.
        self.hold.settle();
        self.audit.note_target(&next);
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
    pub(super) fn free_copy(&mut self) {
        let Some(handle) = self.unused_copy.take() else {
            return;
        };
        let is_quiet = self.core.with_state(|state, now| {
            let found = state.board.target(&self.hold.target);
            found.is_some_and(|one| one.backoff.left(now).is_some())
        });
        if is_quiet {
            // The copy expires by itself.
            return;
        }
        let source = self.hold.address;
        let engines = self.core.ports.engines.clone();
        tokio::spawn(async move { engines.free_copy(source, &handle).await });
    }
}
