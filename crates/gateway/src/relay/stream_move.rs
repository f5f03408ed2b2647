use std::time::Duration;

use base::{EventKind, TargetName, TimeSpan};
use entry::{
    MovePhase, MovePlan, MovePlanner, MoveSource, MoveStep, MoveTurn, MoveWorth, PlacementRequest,
    PlacementScope, TargetPhase,
};
use metrics::counter;
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
/// Pause before a copy is requested again of an engine that does not know the run yet, as it began
/// or resumed there just now.
const UNKNOWN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest time for which a copy waits for a permit to send to its source.
const COPY_PERMIT_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// Moves of the generation to another engine: copy the KV cache while the source goes on, stop the
/// source and copy the rest, and resume from the copy.
impl StreamRelay {
    /// Starts the search for a destination if the engine is leaving, moving is worth it and the
    /// stream gets a turn.
    pub(super) fn consider_move(&mut self) {
        if Instant::now() < self.move_pause_end {
            self.move_due = self.move_pause_end;
            return;
        }
        self.move_due = Instant::now() + NO_MOVE_DUE;
        let now = self.core.now();
        let can_move = self.call.admission.engine.is_some_and(|spec| spec.can_move);
        if !can_move || *self.move_machine.phase() != MovePhase::Idle || self.placing.is_some() {
            return;
        }
        let has_time = self
            .core
            .with_state(|state, now| state.has_time_to_move(now, &self.reservation.target));
        if !has_time || !self.move_machine.can_start() || !self.progress.is_worth_moving(now) {
            self.release_turn();
            return;
        }
        if self.turn != TurnState::Moving && !self.take_turn() {
            return;
        }
        let source = &self.reservation.target;
        let mut load = self.reservation.load();
        load.prefill = 0;
        load.incoming = self.held_tokens();
        load.tokens = load.tokens.max(load.incoming);
        let mut excluded = self.failed_targets.clone();
        let full = self
            .core
            .with_state(|state, now| state.full_targets.entries(now));
        excluded.extend(full.iter().map(|(target, _)| target.clone()));
        excluded.push(source.clone());
        let placement = PlacementRequest {
            service: self.call.admission.service.clone(),
            engine: self.call.admission.engine,
            load,
            is_quick: false,
            excluded,
            move_source: Some(MoveSource {
                target: source.clone(),
                domain: self.reservation.domain.clone(),
                produced: self.produced_tokens(),
                full,
            }),
            scope: PlacementScope::AllDomains,
            failure_delays: Vec::new(),
            pace: self.pace_need(),
            workspace: self.call.workspace_name(),
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
            self.failed_targets.clear();
            self.release_turn();
            self.move_due = Instant::now() + MOVE_RETRY_PAUSE;
            return;
        };
        let has_time = self
            .core
            .with_state(|state, now| state.has_time_to_move(now, &self.reservation.target));
        if !has_time {
            self.release_turn();
            return;
        }
        let plan = self.plan_move(&destination);
        if plan == MovePlan::Skip {
            self.release_turn();
            self.pause_moves(MOVE_RETRY_PAUSE);
            self.record_move("too_late");
            return;
        }
        if let Some(left) = self.acquire_move_permit() {
            self.release_turn();
            self.move_due = Instant::now() + Duration::from(left);
            return;
        }
        let source = &self.reservation.target;
        self.core.with_state(|state, now| {
            state.move_scheduler.begin_copy(source);
            state.serve_queue(now);
        });
        self.report_turn();
        let step = match plan {
            MovePlan::OneStep => self.move_machine.start_stopped(destination.target.clone()),
            MovePlan::TwoSteps | MovePlan::Skip => {
                self.move_machine.start(destination.target.clone())
            }
        };
        log::info!(
            event = EventKind::MoveStarted.number(),
            node = self.core.node().as_str(),
            request = self.call.caller_headers.request_id.as_str(),
            source = source.as_str(),
            destination = destination.target.as_str(),
            events = self.progress.events,
            tokens = destination.load().incoming,
            steps = if plan == MovePlan::OneStep { 1 } else { 2 };
            "moving the generation off a leaving engine"
        );
        self.destination = Some(destination);
        self.move_times = MoveTimes::new(self.core.now());
        match step {
            MoveStep::Copy { .. } => self.spawn_copy(false),
            MoveStep::Stop { .. } => self.spawn_copy(true),
            _ => {}
        }
    }

    /// Considers no move for a while. Without it, the change of turns that this stream caused itself
    /// would start the next try at once.
    fn pause_moves(&mut self, pause: Duration) {
        self.move_pause_end = Instant::now() + pause;
        self.move_due = self.move_pause_end;
    }

    /// Tokens that the generation has produced so far.
    fn produced_tokens(&self) -> u32 {
        self.progress.events.saturating_mul(self.event_tokens)
    }

    /// Tokens that the generation holds in the memory of its engine now.
    pub(super) fn held_tokens(&self) -> u64 {
        let size = self.call.caller_headers.generation;
        let prompt = size.map_or(0, |size| u64::from(size.prompt.0));
        prompt + u64::from(self.produced_tokens())
    }

    /// How to move the generation to a destination in the time that its engine has left.
    fn plan_move(&self, destination: &CapacityReservation) -> MovePlan {
        let Some(spec) = self.call.admission.engine else {
            return MovePlan::Skip;
        };
        let source = &self.reservation.target;
        let planner = MovePlanner::new(spec.copy_rate);
        let tokens = destination.load().incoming + destination.other_load.incoming;
        let is_same_domain = destination.domain == self.reservation.domain;
        self.core.with_state(|state, now| {
            let ends_by = state.engine_end(now, source, &self.call.admission.service);
            planner.plan(now, ends_by, tokens, is_same_domain)
        })
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
        let waiting = match self.turn {
            TurnState::Waiting(ticket) => Some(ticket),
            TurnState::Idle | TurnState::Moving => None,
        };
        let worth = MoveWorth::new(self.produced_tokens(), self.held_tokens());
        let taken = self.core.with_state(|state, now| {
            let found = state.balancer.target(&source);
            if found.is_some_and(|one| one.is_open()) {
                return None;
            }
            let coordinator = state.coordinator_of(now, &self.reservation.domain);
            let scheduler = &mut state.move_scheduler;
            let ticket = waiting.unwrap_or_else(|| scheduler.add_waiting(&source, worth));
            let turn = match coordinator {
                Some(_) => scheduler.try_start_local(now, &source, ticket),
                None => scheduler.try_start(now, &source, ticket),
            };
            Some((turn, ticket, now))
        });
        match taken {
            None => {
                // The evacuation of the source was taken back.
                self.release_turn();
                false
            }
            Some((MoveTurn::Start, ..)) => {
                self.turn = TurnState::Moving;
                true
            }
            Some((MoveTurn::Wait(until), ticket, now)) => {
                self.turn = TurnState::Waiting(ticket);
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
        let is_finished = self.core.with_state(|state, now| {
            match ended {
                TurnState::Moving => state.move_scheduler.end_turn(now, &source),
                TurnState::Waiting(ticket) => {
                    state.move_scheduler.remove_waiting(&source, ticket);
                }
                TurnState::Idle => {}
            }
            state.serve_queue(now);
            state.move_scheduler.finished_sources().contains(&source)
        });
        if ended == TurnState::Moving {
            self.report_turn();
        }
        self.core.recheck_moves();
        if is_finished {
            PeerClient::new(self.core.clone()).notify_finished(&source);
        }
    }

    /// Tells the coordinator of the source's failure domain at once that a copy off the source
    /// begins or has ended. Load reports are pushed some 20 ms apart, for which the link would be
    /// idle; and a report that never shows a short copy leaves the lock of the source in force.
    fn report_turn(&self) {
        let coordinator = self.core.with_state(|state, now| {
            let own = state.peers.own_address();
            let coordinator = state.coordinator_of(now, &self.reservation.domain);
            coordinator.filter(|coordinator| Some(*coordinator) != own)
        });
        if let Some(coordinator) = coordinator {
            let client = PeerClient::new(self.core.clone());
            tokio::spawn(async move { client.send_loads(coordinator).await });
        }
    }

    /// Starts a task that requests a copy of the KV cache from the source.
    fn spawn_copy(&mut self, stop_source: bool) {
        let Some(destination) = &self.destination else {
            return;
        };
        let destination_name = destination.target.clone();
        let features = self.call.features.clone();
        let (source, destination) = (self.reservation.address, destination.address);
        let request = self.call.caller_headers.request_id.clone();
        let (core, run) = (self.core.clone(), TargetRun::of(&self.reservation));
        self.copying = Some(tokio::spawn(async move {
            let permit = await_permit(&core, &run.target, run.incarnation, COPY_PERMIT_WAIT).await;
            if let Err(refusal) = permit {
                let reason = refusal.to_string();
                return CopyOutcome::NotSent { reason };
            }
            // What is known may have changed while the permit was awaited.
            let may_send = core.with_state(|state, now| match stop_source {
                true => state.may_stop_for_move(now, &features, &run.target, &destination_name),
                false => state.may_send_for_move(now, &run.target),
            });
            if !may_send {
                let reason = "the generation could not be resumed after it".to_owned();
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
                // The destination may have begun to leave during the copy, for example.
                let is_usable = self.may_stop_source();
                if is_whole && !is_usable {
                    self.release_copy();
                }
                let step = match outcome {
                    CopyOutcome::NoRoom { .. } => {
                        self.mark_destination_full();
                        self.move_machine.on_copy_refused()
                    }
                    CopyOutcome::Unknown | CopyOutcome::Busy => self.move_machine.on_copy_unknown(),
                    CopyOutcome::Whole { .. }
                    | CopyOutcome::NotSent { .. }
                    | CopyOutcome::Lost { .. } => {
                        self.move_machine.on_copied(is_whole && is_usable)
                    }
                };
                Some(step)
            }
            _ => {
                let was_source_closed = self.move_machine.awaits_stop_response();
                let step = match outcome {
                    CopyOutcome::Whole { handle } => {
                        // The link of the source is free, so the next copy can begin while the
                        // destination resumes this generation.
                        self.release_turn();
                        self.move_machine.on_stopped(Some(handle), true)
                    }
                    CopyOutcome::NoRoom { handle } => {
                        self.record_move("no_room");
                        self.mark_destination_full();
                        self.move_machine.on_stopped(handle, false)
                    }
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
                    self.record_lost_generation(Some("stopping"));
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

    /// Whether the source may be stopped: the generation may still be resumed.
    fn may_stop_source(&self) -> bool {
        let Some(destination) = &self.destination else {
            return false;
        };
        let (source, features) = (&self.reservation.target, &self.call.features);
        self.core.with_state(|state, now| {
            state.may_stop_for_move(now, features, source, &destination.target)
        })
    }

    /// Performs a step that the move machine asks for.
    pub(super) async fn perform_step(&mut self, step: MoveStep) -> RelayState {
        match step {
            MoveStep::Copy { .. } => self.spawn_copy(false),
            MoveStep::Stop { .. } => self.spawn_copy(true),
            MoveStep::ChooseAnother => {
                let failed = self.destination.take();
                self.failed_targets
                    .extend(failed.map(|reservation| reservation.target.clone()));
                self.move_due = Instant::now();
            }
            MoveStep::Pause => {
                self.destination = None;
                self.release_turn();
                self.pause_moves(UNKNOWN_RETRY_PAUSE);
            }
            MoveStep::Stay => {
                self.destination = None;
                self.release_turn();
                if self.move_machine.can_start() {
                    self.pause_moves(MOVE_RETRY_PAUSE);
                }
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
        self.call.update_workspace(&self.core);
        let has_moved = engine != self.reservation.target;
        // A resume counts against the retry budget, but is sent even if the budget is used up, as
        // the generation would be lost otherwise.
        self.core.take_retry(&self.call.admission.service);
        let no_trial = CallTrial::default();
        if has_moved && let Some(mut destination) = self.destination.take() {
            let sent = send_call(
                &self.core,
                &self.call,
                &mut destination,
                Some(&point),
                &no_trial,
                self.deadline,
            );
            let Some(outcome) = self.sender.while_open(sent).await else {
                return self.end_for_caller();
            };
            if let Some(reason) = self.adopt_response(outcome) {
                self.record_move("not_resumed");
                self.access_entry
                    .add_reason(format!("{engine} did not resume: {reason}"));
            } else {
                self.finish_move(destination);
                return RelayState::Running;
            }
        }
        self.destination = None;
        let sent = send_call(
            &self.core,
            &self.call,
            &mut self.reservation,
            Some(&point),
            &no_trial,
            self.deadline,
        );
        let Some(outcome) = self.sender.while_open(sent).await else {
            return self.end_for_caller();
        };
        match self.adopt_response(outcome) {
            None => {
                self.move_machine
                    .on_resumed(self.reservation.target.clone());
                self.record_moved_answer();
                self.record_move("resumed_at_source");
                self.release_turn();
                self.pause_moves(UNKNOWN_RETRY_PAUSE);
                RelayState::Running
            }
            Some(reason) => {
                self.record_lost_generation(Some("not_resumed"));
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
        self.interrupt_gaps();
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
        self.failed_targets.clear();
        self.record_move("finished");
        self.consider_move();
    }

    /// Records that the answer began before the generation was resumed: it is no proof against deaths
    /// since then, and the target that resumes it did not begin it.
    fn record_moved_answer(&mut self) {
        if let Some(began_at) = self.progress.first_event_at {
            self.reservation.record_begin(began_at);
        }
    }

    /// Records that the destination of the current move has no room, so that no generation of this
    /// node is copied there for a while.
    fn mark_destination_full(&self) {
        if let Some(destination) = &self.destination {
            self.core.with_state(|state, now| {
                state.full_targets.mark(now, &destination.target);
            });
        }
    }

    /// Counts a move by its outcome.
    fn record_move(&self, outcome: &'static str) {
        let node = self.core.node().to_string();
        counter!("gateway_moves_total", "node" => node, "outcome" => outcome).increment(1);
    }

    /// Logs and counts a copy request that failed.
    fn log_move_failure(&self, outcome: &CopyOutcome) {
        self.record_move(match outcome {
            CopyOutcome::Whole { .. } => "copied",
            CopyOutcome::NoRoom { .. } => "no_room",
            CopyOutcome::Unknown => "unknown_run",
            CopyOutcome::Busy => "busy",
            CopyOutcome::NotSent { .. } => "not_sent",
            CopyOutcome::Lost { .. } => "lost_answer",
        });
        log::info!(
            event = EventKind::MoveFailed.number(),
            node = self.core.node().as_str(),
            request = self.call.caller_headers.request_id.as_str(),
            source = self.reservation.target.as_str();
            "{outcome:?}"
        );
    }

    /// Counts a generation that was lost with its engine by its cause, or by how far its move was if
    /// none is given, and learns when engines of the service end.
    pub(super) fn record_lost_generation(&self, cause: Option<&'static str>) {
        let source = &self.reservation.target;
        let was_leaving = self.core.with_state(|state, now| {
            let found = state.balancer.target(source);
            let is_leaving = found.is_none_or(|one| one.phase == TargetPhase::Leaving);
            if is_leaving {
                state.learn_notice(source, &self.call.admission.service, now);
            }
            is_leaving
        });
        let reached = match (was_leaving, self.move_machine.phase(), self.turn) {
            (false, ..) => "without_notice",
            (true, MovePhase::Copying { .. }, _) => "copying",
            (true, MovePhase::Stopping { .. } | MovePhase::Stopped { .. }, _) => "stopping",
            (true, MovePhase::Idle, TurnState::Moving) => "no_destination",
            (true, MovePhase::Idle, TurnState::Waiting(_)) => "not_started",
            (true, MovePhase::Idle, TurnState::Idle) => match self.move_machine.can_start() {
                true => "not_started",
                false => "attempts_used",
            },
        };
        let cause = cause.unwrap_or(reached);
        let node = self.core.node().to_string();
        counter!("gateway_lost_generations_total", "node" => node, "cause" => cause).increment(1);
        log::info!(
            event = EventKind::MoveFailed.number(),
            node = self.core.node().as_str(),
            request = self.call.caller_headers.request_id.as_str(),
            source = source.as_str(),
            events = self.progress.events,
            cause = cause;
            "generation lost with its engine"
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
            let may_send = core.with_state(|state, now| state.may_send_for_move(now, &run.target));
            if permit.is_ok() && may_send {
                core.ports.engines.release_copy(source, &handle).await;
            }
        });
    }
}
