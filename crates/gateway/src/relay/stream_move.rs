use std::time::Duration;

use base::{EventKind, TargetName, TimeSpan};
use entry::{
    MovePhase, MoveSource, MoveStep, MoveTurn, PlacementRequest, PlacementScope, TargetPhase,
};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::move_times::MoveTimes;
use super::stream_relay::{NO_MOVE_DUE, RelayState, StreamRelay, TurnState};
use super::target_run::TargetRun;
use super::target_send::{SendOutcome, send_call};
use crate::coordinator::reserve_for_move;
use crate::peer::PeerClient;
use crate::rate::{acquire_permit, await_permit};
use crate::trial::CallTrial;
use crate::{CapacityReservation, CopyOutcome, ResumePoint};

/// Pause before the next search for a destination when no engine had room.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Longest time for which a copy waits for a permit to send to its source.
const COPY_PERMIT_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// Moves of the generation to another engine: copy the KV cache while the source goes on, stop the
/// source and copy the rest, and resume from the copy.
impl StreamRelay {
    /// Starts the search for a destination if the engine is leaving, moving is worth it and the
    /// stream gets a turn.
    pub(super) fn consider_move(&mut self) {
        self.move_due = Instant::now() + NO_MOVE_DUE;
        let now = self.core.now();
        let can_move = self.call.engine.is_some_and(|spec| spec.can_move);
        if !can_move || *self.move_machine.phase() != MovePhase::Idle || self.placing.is_some() {
            return;
        }
        if !self.move_machine.can_start() || !self.progress.is_worth_moving(now) {
            self.release_turn();
            return;
        }
        if self.turn != TurnState::Moving && !self.take_turn() {
            return;
        }
        let source = &self.reservation.target;
        let mut load = self.reservation.load();
        load.prefill = 0;
        load.incoming = load.tokens;
        let mut excluded = self.full_targets.clone();
        excluded.push(source.clone());
        let placement = PlacementRequest {
            service: self.call.service.clone(),
            engine: self.call.engine,
            load,
            is_quick: false,
            excluded,
            move_source: Some(MoveSource {
                target: source.clone(),
                domain: self.reservation.domain.clone(),
            }),
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
            workspace: self.call.workspace.clone(),
        };
        let core = self.core.clone();
        self.placing = Some(tokio::spawn(async move {
            reserve_for_move(&core, placement).await
        }));
    }

    /// Handles the end of the search for a destination: starts the copy, or schedules another
    /// search.
    pub(super) fn on_placed(&mut self, destination: Option<CapacityReservation>) {
        let Some(destination) = destination else {
            self.full_targets.clear();
            self.release_turn();
            self.move_due = Instant::now() + MOVE_RETRY_PAUSE;
            return;
        };
        if let Some(left) = self.acquire_move_permit() {
            self.release_turn();
            self.move_due = Instant::now() + Duration::from(left);
            return;
        }
        let source = &self.reservation.target;
        self.core
            .with_state(|state, _| state.move_scheduler.begin_copy(source));
        let step = self.move_machine.start(destination.target.clone());
        log::info!(
            event = EventKind::MoveStarted.number(),
            node = self.core.node().as_str(),
            request = self.call.caller_headers.request_id.as_str(),
            source = source.as_str(),
            destination = destination.target.as_str(),
            events = self.progress.events,
            tokens = destination.load().tokens;
            "moving the generation off a leaving engine"
        );
        self.destination = Some(destination);
        self.move_times = MoveTimes::new(self.core.now());
        if let MoveStep::Copy { .. } = step {
            self.spawn_copy(false);
        }
    }

    /// Takes a move permit if the source has asked for a back-off. Returns the rest of the back-off if
    /// no permit is left, and `None` if the move may start.
    fn acquire_move_permit(&self) -> Option<TimeSpan> {
        let source = &self.reservation.target;
        self.core.with_state(|state, now| {
            let left = state.balancer.target(source)?.backoff.left(now)?;
            (!state.balancer.take_move_permit(now, source)).then_some(left)
        })
    }

    /// Takes a turn for a move off the source, if that is leaving. If no turn is free, the stream
    /// waits for one and schedules the next check.
    fn take_turn(&mut self) -> bool {
        let source = self.reservation.target.clone();
        let is_waiting = self.turn == TurnState::Waiting;
        let taken = self.core.with_state(|state, now| {
            let found = state.balancer.target(&source);
            if found.is_some_and(|one| one.phase != TargetPhase::Leaving) {
                return None;
            }
            if !is_waiting {
                state.move_scheduler.add_waiting(&source);
            }
            let turn = match state.coordinator_of(now, &self.reservation.domain) {
                Some(_) => state.move_scheduler.try_start_local(now, &source),
                None => state.move_scheduler.try_start(now, &source),
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

    /// Gives up the turn, or the wait for one; if it was the last stream of this node on the
    /// source, tells the peers that this node is done with the source.
    pub(super) fn release_turn(&mut self) {
        let ended = std::mem::replace(&mut self.turn, TurnState::Idle);
        if ended == TurnState::Idle {
            return;
        }
        let source = self.reservation.target.clone();
        let is_finished = self.core.with_state(|state, _| {
            match ended {
                TurnState::Moving => state.move_scheduler.end_turn(&source),
                TurnState::Idle | TurnState::Waiting => {
                    state.move_scheduler.remove_waiting(&source)
                }
            }
            state.move_scheduler.finished_sources().contains(&source)
        });
        self.core.recheck_moves();
        if is_finished {
            PeerClient::new(self.core.clone()).notify_finished(&source);
        }
    }

    /// Starts a task that requests a copy of the KV cache from the source.
    fn spawn_copy(&mut self, stop_source: bool) {
        let Some(destination) = &self.destination else {
            return;
        };
        let (source, destination) = (self.reservation.address, destination.address);
        let request = self.call.caller_headers.request_id.clone();
        let (core, run) = (self.core.clone(), TargetRun::of(&self.reservation));
        self.copying = Some(tokio::spawn(async move {
            let permit = await_permit(&core, &run.target, run.incarnation, COPY_PERMIT_WAIT).await;
            if let Err(refusal) = permit {
                let reason = refusal.to_string();
                return CopyOutcome::NotSent { reason };
            }
            let engines = &core.ports.engines;
            engines
                .copy_kv_cache(source, &request, destination, stop_source)
                .await
        }));
    }

    /// Handles the response to a copy request and takes the next step of the move.
    pub(super) async fn on_copied(&mut self, outcome: CopyOutcome) -> RelayState {
        self.move_times.record_copy(self.core.now());
        if let CopyOutcome::Whole { handle } = &outcome {
            self.unused_copy = Some(handle.clone());
        }
        let step = match self.move_machine.phase() {
            MovePhase::Copying { .. } => {
                let is_whole = matches!(outcome, CopyOutcome::Whole { .. });
                if !is_whole {
                    self.log_move_failure(&outcome);
                }
                // The destination may have begun to leave during the copy.
                let is_usable = self.is_destination_staying();
                if is_whole && !is_usable {
                    self.release_copy();
                }
                Some(self.move_machine.on_copied(is_whole && is_usable))
            }
            _ => {
                let was_source_closed = self.move_machine.awaits_stop_response();
                let step = match outcome {
                    CopyOutcome::Whole { handle } => {
                        self.move_machine.on_stopped(Some(handle), true)
                    }
                    CopyOutcome::NoRoom { handle } => self.move_machine.on_stopped(handle, false),
                    CopyOutcome::Unknown | CopyOutcome::Busy | CopyOutcome::NotSent { .. } => {
                        self.log_move_failure(&outcome);
                        self.move_machine.on_stopped(None, false)
                    }
                    CopyOutcome::Lost { .. } => {
                        self.log_move_failure(&outcome);
                        self.move_machine.on_stop_lost()
                    }
                };
                if was_source_closed && step == Some(MoveStep::Stay) {
                    self.fail(
                        "generation_lost",
                        "the engine ended the stream during the move",
                    );
                    return RelayState::Ended;
                }
                step
            }
        };
        match step {
            Some(step) => self.perform_step(step).await,
            None => RelayState::Running,
        }
    }

    /// Whether the destination of the current move has not begun to leave.
    fn is_destination_staying(&self) -> bool {
        let Some(destination) = &self.destination else {
            return false;
        };
        self.core.with_state(|state, _| {
            let target = state.balancer.target(&destination.target);
            target.is_some_and(|target| target.phase != TargetPhase::Leaving)
        })
    }

    /// Performs a step that the move machine asks for.
    pub(super) async fn perform_step(&mut self, step: MoveStep) -> RelayState {
        match step {
            MoveStep::Copy { .. } => self.spawn_copy(false),
            MoveStep::Stop { .. } => self.spawn_copy(true),
            MoveStep::ChooseAnother => {
                let full = self.destination.take();
                self.full_targets
                    .extend(full.map(|reservation| reservation.target.clone()));
                self.move_due = Instant::now();
            }
            MoveStep::Stay => {
                self.destination = None;
                self.release_turn();
            }
            MoveStep::Resume { engine, handle } => return self.resume(engine, handle).await,
        }
        RelayState::Running
    }

    /// Sends the call again, so that the generation resumes from the copy at `engine`; if that
    /// fails, from the KV cache kept by the source.
    async fn resume(&mut self, engine: TargetName, handle: SmolStr) -> RelayState {
        let point = ResumePoint {
            source: self.reservation.address,
            handle,
            last_event_id: self.last_event_id.clone(),
        };
        self.unused_copy = None;
        let has_moved = engine != self.reservation.target;
        // A resume counts against the retry budget, but is sent even if the budget is used up, as
        // the generation would be lost otherwise.
        self.core.take_retry(&self.call.service);
        if has_moved && let Some(mut destination) = self.destination.take() {
            let deadline = self.deadline;
            let outcome = send_call(
                &self.core,
                &self.call,
                &mut destination,
                Some(&point),
                &CallTrial::default(),
                deadline,
            )
            .await;
            if let Some(reason) = self.adopt_response(outcome) {
                self.access_entry
                    .add_reason(format!("{engine} did not resume: {reason}"));
            } else {
                self.finish_move(destination);
                return RelayState::Running;
            }
        }
        self.destination = None;
        let deadline = self.deadline;
        let outcome = send_call(
            &self.core,
            &self.call,
            &mut self.reservation,
            Some(&point),
            &CallTrial::default(),
            deadline,
        )
        .await;
        match self.adopt_response(outcome) {
            None => {
                self.move_machine
                    .on_resumed(self.reservation.target.clone());
                self.record_moved_answer();
                RelayState::Running
            }
            Some(reason) => {
                self.fail(
                    "generation_lost",
                    &format!("no engine resumed the generation: {reason}"),
                );
                RelayState::Ended
            }
        }
    }

    /// Continues the stream with the response of a resumed generation; returns the reason if there
    /// is none.
    fn adopt_response(&mut self, outcome: SendOutcome) -> Option<String> {
        let response = match outcome {
            SendOutcome::Response(response) if response.http.status().is_success() => response,
            SendOutcome::Response(response) => {
                return Some(format!("status {}", response.http.status()));
            }
            SendOutcome::Refused(status) => return Some(format!("refused with {status}")),
            SendOutcome::Unsent(reason) | SendOutcome::Lost(reason) => return Some(reason),
            SendOutcome::Forbidden(bar) => return Some(bar.to_string()),
            SendOutcome::TimedOut => return Some("no response in time".to_owned()),
            SendOutcome::Recalled => return Some("recalled".to_owned()),
        };
        self.is_framed = response.is_framed();
        self.body = Some(response.http.into_body());
        self.connection = Some(response.connection);
        None
    }

    /// Makes the destination, on which the generation resumed, the engine of the stream.
    fn finish_move(&mut self, mut destination: CapacityReservation) {
        self.release_turn();
        destination.end_copy();
        let times = &self.move_times;
        log::info!(
            event = EventKind::MoveFinished.number(),
            node = self.core.node().as_str(),
            request = self.call.caller_headers.request_id.as_str(),
            source = self.reservation.target.as_str(),
            destination = destination.target.as_str(),
            events = self.progress.events,
            copy_ms = times.copy_time().as_millis(),
            stop_ms = times.stop_time().as_millis(),
            resume_ms = times.resume_time(self.core.now()).as_millis();
            "generation resumed at the destination"
        );
        self.access_entry.moves += 1;
        // The generation did not crash the source.
        self.reservation.finish_send();
        self.access_entry.record_target(&destination);
        self.move_machine.on_resumed(destination.target.clone());
        self.reservation = destination;
        self.record_moved_answer();
        self.full_targets.clear();
        self.consider_move();
    }

    /// Records that the answer began before the generation was resumed: it is no proof against deaths
    /// since then, and the target that resumes it did not begin it.
    fn record_moved_answer(&mut self) {
        if let Some(began_at) = self.progress.first_event_at {
            self.reservation.record_begin(began_at);
        }
    }

    /// Logs a copy request that failed.
    fn log_move_failure(&self, outcome: &CopyOutcome) {
        log::info!(
            event = EventKind::MoveFailed.number(),
            node = self.core.node().as_str(),
            request = self.call.caller_headers.request_id.as_str(),
            source = self.reservation.target.as_str();
            "{outcome:?}"
        );
    }

    /// Asks the source to release a copy from which no engine resumed.
    pub(super) fn release_copy(&mut self) {
        let Some(handle) = self.unused_copy.take() else {
            return;
        };
        let is_backing_off = self.core.with_state(|state, now| {
            let found = state.balancer.target(&self.reservation.target);
            found.is_some_and(|one| one.backoff.left(now).is_some())
        });
        if is_backing_off {
            // The source asked for no requests; the copy expires by itself.
            return;
        }
        let source = self.reservation.address;
        let (core, run) = (self.core.clone(), TargetRun::of(&self.reservation));
        tokio::spawn(async move {
            // Without a permit, the copy expires by itself.
            let permit = acquire_permit(&core, &run.target, run.incarnation).await;
            if permit.is_ok() {
                core.ports.engines.release_copy(source, &handle).await;
            }
        });
    }
}
