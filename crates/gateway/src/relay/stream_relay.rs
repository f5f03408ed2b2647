use std::sync::Arc;
use std::time::Duration;

use base::{TargetName, TimeSpan, TokenCount};
use bytes::Bytes;
use entry::{
    ANSWER_PROOF_TIME, GapMeter, MoveMachine, MovePhase, MoveTicket, OutputEstimate, PaceNeed,
    StreamProgress,
};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use web::{EventFrame, EventSplitter, PooledConnection};

use super::AccessEntry;
use super::admitted_call::AdmittedCall;
use super::crash_detection::{
    record_broken_call, record_proof, record_response, record_unframed_end,
};
use super::move_times::MoveTimes;
use super::response_sender::{ChunkOutcome, ResponseSender};
use super::target_run::TargetRun;
use super::target_send::{TargetResponse, log_recall, until_dangerous};
use crate::{CapacityReservation, CopyOutcome, GatewayCore};

/// Largest event in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Time until the next check for a move while none is due; far in the future, so that the timer
/// does not fire in practice.
pub(super) const NO_MOVE_DUE: Duration = Duration::from_secs(3_600);

/// Arguments of `StreamRelay::new`.
pub struct RelayParts {
    /// State of the node.
    pub core: Arc<GatewayCore>,
    /// The call whose stream is relayed.
    pub call: AdmittedCall,
    /// Access log entry of the call.
    pub access_entry: AccessEntry,
    /// Capacity reserved on the engine.
    pub reservation: CapacityReservation,
    /// Response of the engine.
    pub response: TargetResponse,
    /// Where the events for the caller go.
    pub sender: ResponseSender,
}

/// Input of the event loop of a stream.
enum RelayEvent {
    /// A frame of the engine's response body, its error, or its end.
    Frame(Option<Result<Frame<Bytes>, String>>),
    /// The caller closed its connection.
    CallerGone,
    /// A target began to leave, or another stream released its turn for a move.
    LeavingChanged,
    /// A copy request to the engine was answered.
    Copied(CopyOutcome),
    /// The search for a destination ended; `None` if no engine had room.
    Placed(Option<CapacityReservation>),
    /// The time of the next check for a move has come.
    MoveDue,
    /// The deadline of the call has passed.
    DeadlineReached,
    /// The answer has not begun, and other calls like this one crashed their targets.
    Dangerous,
    /// The answer has gone on for so long that the prompt is harmless.
    Proven,
}

/// Whether the event loop of a stream continues.
pub(super) enum RelayState {
    Running,
    Ended,
}

/// Turn of a stream in the moves off its leaving engine, of which only some run at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnState {
    /// The stream neither waits for a turn nor has one.
    Idle,
    /// The stream waits for a turn with this ticket.
    Waiting(MoveTicket),
    /// The stream has a turn and may move.
    Moving,
}

/// Relays the events of a generation to its caller, also while the generation moves between
/// engines.
pub struct StreamRelay {
    pub(super) core: Arc<GatewayCore>,
    pub(super) call: AdmittedCall,
    pub(super) access_entry: AccessEntry,
    pub(super) reservation: CapacityReservation,
    pub(super) body: Option<Incoming>,
    pub(super) connection: Option<PooledConnection>,
    pub(super) sender: ResponseSender,
    pub(super) splitter: EventSplitter,
    pub(super) is_framed: bool,
    pub(super) progress: StreamProgress,
    estimate: OutputEstimate,
    pub(super) event_tokens: u32,
    pub(super) last_event_id: Option<SmolStr>,
    pub(super) last_event_number: Option<u64>,
    pub(super) move_machine: MoveMachine,
    /// Capacity reserved on the destination of the current move.
    pub(super) destination: Option<CapacityReservation>,
    /// Task that searches for a destination.
    pub(super) placing: Option<JoinHandle<Option<CapacityReservation>>>,
    /// Task that waits for the response to a copy request.
    pub(super) copying: Option<JoinHandle<CopyOutcome>>,
    /// Handle of a copy that no resume has used; released when the stream ends.
    pub(super) unused_copy: Option<SmolStr>,
    pub(super) move_times: MoveTimes,
    /// Changes when a target begins to leave or a turn for a move is released.
    pub(super) leaving: watch::Receiver<u64>,
    /// Time of the next check for a move.
    pub(super) move_due: Instant,
    /// Time before which no move is considered, whatever else changes.
    pub(super) move_pause_end: Instant,
    pub(super) turn: TurnState,
    /// Destinations to which a copy failed; not tried again in this search.
    pub(super) failed_targets: Vec<TargetName>,
    /// Changes when features of calls are blamed for crashes.
    blame: watch::Receiver<u64>,
    /// When the prompt will have proven harmless; `None` before the answer begins and after that.
    proof_due: Option<Instant>,
    pub(super) deadline: Instant,
    /// Measures the gaps that the engine makes between events.
    pub(super) gap_meter: GapMeter,
}

impl StreamRelay {
    /// Creates the relay of a stream whose response head arrived.
    pub fn new(parts: RelayParts) -> Self {
        let size = parts.call.caller_headers.generation;
        let event_tokens = parts
            .call
            .admission
            .engine
            .map_or(1, |spec| spec.event_tokens.max(1));
        let limit = size.map_or(TokenCount(u32::MAX), |size| size.output_limit);
        let estimate = size.map_or(OutputEstimate::new(limit, None), |size| {
            size.output_estimate()
        });
        Self {
            is_framed: parts.response.is_framed(),
            leaving: parts.core.watch_move_rechecks(),
            blame: parts.core.watch_blame(),
            proof_due: None,
            move_machine: MoveMachine::new(parts.reservation.target.clone()),
            progress: StreamProgress {
                first_event_at: None,
                events: 0,
                event_limit: limit.0.div_ceil(event_tokens),
            },
            estimate,
            event_tokens,
            deadline: parts.call.deadline_instant(parts.core.now()),
            move_due: Instant::now() + NO_MOVE_DUE,
            move_pause_end: Instant::now(),
            turn: TurnState::Idle,
            failed_targets: Vec::new(),
            core: parts.core,
            call: parts.call,
            access_entry: parts.access_entry,
            reservation: parts.reservation,
            body: Some(parts.response.http.into_body()),
            connection: Some(parts.response.connection),
            sender: parts.sender,
            splitter: EventSplitter::new(EVENT_LIMIT),
            last_event_id: None,
            last_event_number: None,
            destination: None,
            placing: None,
            copying: None,
            unused_copy: None,
            move_times: MoveTimes::default(),
            gap_meter: GapMeter::default(),
        }
    }

    /// Relays the stream to its end.
    pub async fn run(mut self) {
        self.core.with_state(|state, _| state.active_streams += 1);
        loop {
            let event = self.next_event().await;
            if let RelayState::Ended = self.on_event(event).await {
                break;
            }
        }
        self.interrupt_gaps();
        self.cancel_copy();
        self.release_turn();
        self.release_copy();
        self.core.with_state(|state, _| state.active_streams -= 1);
    }

    /// Ends the request for a copy, which nobody needs once the stream has ended and which may still wait
    /// for a permit. A copy that the source has made by then expires there.
    fn cancel_copy(&mut self) {
        if let Some(copying) = self.copying.take() {
            copying.abort();
        }
    }

    async fn next_event(&mut self) -> RelayEvent {
        let body = self.body.as_mut();
        let copying = self.copying.as_mut();
        let placing = self.placing.as_mut();
        let may_recall = self.progress.events == 0 && !self.reservation.is_trial();
        let proof_due = self.proof_due;
        tokio::select! {
            biased;
            () = self.sender.closed() => RelayEvent::CallerGone,
            // Before the frames of the engine, which may arrive without end.
            () = sleep_until(self.deadline) => RelayEvent::DeadlineReached,
            () = until_dangerous(&self.core, &self.call, &mut self.blame), if may_recall => {
                RelayEvent::Dangerous
            }
            () = sleep_until(proof_due.unwrap_or(self.deadline)), if proof_due.is_some() => {
                RelayEvent::Proven
            }
            frame = next_frame(body) => RelayEvent::Frame(frame),
            outcome = join_copy(copying) => {
                self.copying = None;
                RelayEvent::Copied(outcome)
            }
            destination = join_placing(placing) => {
                self.placing = None;
                RelayEvent::Placed(destination)
            }
            _ = self.leaving.changed() => RelayEvent::LeavingChanged,
            () = sleep_until(self.move_due) => RelayEvent::MoveDue,
        }
    }

    async fn on_event(&mut self, event: RelayEvent) -> RelayState {
        match event {
            RelayEvent::Frame(Some(Ok(frame))) => match frame.into_data() {
                Ok(chunk) => self.on_chunk(chunk).await,
                Err(frame) => {
                    if let Some(trailers) = frame.trailers_ref() {
                        TargetRun::of(&self.reservation).apply_trailers(&self.core, trailers);
                    }
                    RelayState::Running
                }
            },
            RelayEvent::Frame(Some(Err(reason))) => self.on_broken(reason).await,
            RelayEvent::Frame(None) => self.on_body_end().await,
            RelayEvent::CallerGone => self.end_for_caller(),
            RelayEvent::DeadlineReached => {
                self.fail("deadline_exceeded", "deadline passed during the stream");
                RelayState::Ended
            }
            RelayEvent::Dangerous => {
                log_recall(&self.core, &self.call, &self.reservation.target);
                self.fail("recalled", "recalled from its target");
                RelayState::Ended
            }
            RelayEvent::Proven => {
                self.proof_due = None;
                if let Some(began_at) = self.progress.first_event_at {
                    record_proof(&self.core, &self.call, began_at);
                }
                RelayState::Running
            }
            RelayEvent::LeavingChanged | RelayEvent::MoveDue => {
                self.consider_move();
                RelayState::Running
            }
            RelayEvent::Copied(outcome) => self.on_copied(outcome).await,
            RelayEvent::Placed(destination) => {
                self.on_placed(destination);
                RelayState::Running
            }
        }
    }

    /// Splits a chunk of the body into events and sends the new ones to the caller.
    async fn on_chunk(&mut self, chunk: Bytes) -> RelayState {
        self.access_entry.record_first_byte();
        self.splitter.push(chunk);
        while let Some(block) = self.splitter.next_block() {
            if !self.is_new(&block) {
                continue;
            }
            self.record_event();
            if self.sender.is_full() {
                // While the caller does not read, the engine is not read either.
                self.interrupt_gaps();
            }
            match self.sender.send(block, self.deadline).await {
                ChunkOutcome::Queued => {}
                ChunkOutcome::CallerGone => return self.end_for_caller(),
                ChunkOutcome::TimedOut => {
                    self.fail(
                        "deadline_exceeded",
                        "caller did not read before the deadline",
                    );
                    return RelayState::Ended;
                }
            }
        }
        if self.splitter.exceeds_limit() {
            self.fail("target_failed", "event larger than the limit");
            return RelayState::Ended;
        }
        RelayState::Running
    }

    /// Whether an event was not relayed before; engines may repeat some after a move.
    fn is_new(&mut self, block: &[u8]) -> bool {
        let frame = EventFrame::parse(block);
        let Some(id) = frame.id.and_then(|id| std::str::from_utf8(id).ok()) else {
            return true;
        };
        let number: Option<u64> = id.parse().ok();
        if number.is_some() && number <= self.last_event_number {
            return false;
        }
        self.last_event_number = number.or(self.last_event_number);
        self.last_event_id = Some(SmolStr::new(id));
        true
    }

    /// Records a new event; the first one ends the prefill phase.
    fn record_event(&mut self) {
        self.progress.events += 1;
        self.access_entry.record_event();
        if self.progress.first_event_at.is_none() {
            let now = self.core.now();
            self.progress.first_event_at = Some(now);
            self.reservation.end_prefill();
            self.reservation.record_begin(now);
            let has_parts = !self.call.features.parts().is_empty();
            self.proof_due = has_parts.then(|| Instant::now() + Duration::from(ANSWER_PROOF_TIME));
            self.consider_move();
        }
        self.record_gap();
        self.update_estimate();
    }

    /// Records the gap before the previous event for the pace of the engine. Gaps during a move
    /// are not the engine's.
    fn record_gap(&mut self) {
        if *self.move_machine.phase() != MovePhase::Idle {
            self.interrupt_gaps();
            return;
        }
        let now = self.core.now();
        if let Some(gap) = self.gap_meter.record_event(now) {
            self.collect_gap(gap);
        }
    }

    /// Forgets the last event for the pace of the engine, as the next gap is not the engine's.
    pub(super) fn interrupt_gaps(&mut self) {
        if let Some(gap) = self.gap_meter.interrupt() {
            self.collect_gap(gap);
        }
    }

    fn collect_gap(&mut self, gap: TimeSpan) {
        let Some(limit) = self.call.admission.route.pause_limit else {
            return;
        };
        let run = TargetRun::of(&self.reservation);
        let meter = &mut self.gap_meter;
        self.core.with_state(|state, now| {
            let is_late = meter.begins_late_stretch(now, gap, limit);
            state
                .gaps
                .record(&run.target, run.incarnation, gap, is_late);
        });
    }

    /// What the generation requires of the pace of the engine to which it moves.
    pub(super) fn pace_need(&self) -> Option<PaceNeed> {
        self.call.pace_need(self.progress.events)
    }

    /// Adds to the load on the engine when a generation outgrows its estimated output.
    fn update_estimate(&mut self) {
        let generated = self.progress.events.saturating_mul(self.event_tokens);
        let estimate = self.estimate.with_progress(TokenCount(generated));
        if estimate != self.estimate {
            let more = estimate
                .mean_held()
                .saturating_sub(self.estimate.mean_held());
            self.reservation.add_tokens(more);
            self.estimate = estimate;
        }
    }

    /// Handles the regular end of the engine's response body.
    async fn on_body_end(&mut self) -> RelayState {
        if self.move_machine.may_have_stopped() && !self.is_framed {
            // Without framing, a stream that the move stopped looks complete.
            return self.on_broken("stopped for the move".to_owned()).await;
        }
        if self.splitter.has_partial() {
            record_broken_call(&self.core, &self.call, &mut self.reservation);
            self.fail("target_lost", "stream ended within an event");
            return RelayState::Ended;
        }
        if !self.is_framed && self.progress.events == 0 {
            // The connection of a target that crashes may end like this as well.
            return self
                .on_broken("stream ended without an event".to_owned())
                .await;
        }
        match self.is_framed || self.has_proven() {
            true => record_response(
                &self.core,
                &self.call,
                &mut self.reservation,
                StatusCode::OK,
            ),
            false => record_unframed_end(&mut self.reservation),
        }
        self.sender.complete();
        self.access_entry.set_stream_outcome("answered");
        RelayState::Ended
    }

    /// Whether the answer has gone on for so long that the prompt is harmless.
    fn has_proven(&self) -> bool {
        let first_event_at = self.progress.first_event_at;
        first_event_at.is_some_and(|at| self.core.now() - at >= ANSWER_PROOF_TIME)
    }

    /// Handles a response body that broke off: as expected if the move stopped the source, as a
    /// lost generation otherwise.
    async fn on_broken(&mut self, reason: String) -> RelayState {
        self.body = None;
        self.connection = None;
        self.splitter = EventSplitter::new(EVENT_LIMIT);
        if let Some(step) = self.move_machine.on_source_closed() {
            return self.perform_step(step).await;
        }
        if self.move_machine.awaits_stop_response() {
            return RelayState::Running;
        }
        match self.move_machine.may_have_stopped() {
            // The engine did as it was ordered, which says nothing against the call.
            true => record_unframed_end(&mut self.reservation),
            false => record_broken_call(&self.core, &self.call, &mut self.reservation),
        }
        self.record_lost_generation(None);
        let target = self.reservation.target.clone();
        self.fail("generation_lost", &format!("{target} broke off: {reason}"));
        RelayState::Ended
    }

    /// Ends the stream, as its caller has closed the connection.
    pub(super) fn end_for_caller(&mut self) -> RelayState {
        self.access_entry.add_reason("caller closed the stream");
        RelayState::Ended
    }

    /// Records the outcome and reason of a stream that failed.
    pub(super) fn fail(&mut self, outcome: &'static str, reason: &str) {
        self.access_entry.add_reason(reason);
        self.access_entry.set_stream_outcome(outcome);
    }
}

/// Next frame of the body; `None` at its end. Waits forever without a body.
async fn next_frame(body: Option<&mut Incoming>) -> Option<Result<Frame<Bytes>, String>> {
    let Some(body) = body else {
        return std::future::pending().await;
    };
    let frame = body.frame().await?;
    Some(frame.map_err(|error| error.to_string()))
}

/// Outcome of the copy task. Waits forever without one.
async fn join_copy(copying: Option<&mut JoinHandle<CopyOutcome>>) -> CopyOutcome {
    let Some(copying) = copying else {
        return std::future::pending().await;
    };
    copying.await.unwrap_or_else(|error| CopyOutcome::Lost {
        reason: error.to_string(),
    })
}

/// Destination found by the search task; a task that failed counts as no capacity. Waits forever
/// without one.
async fn join_placing(
    placing: Option<&mut JoinHandle<Option<CapacityReservation>>>,
) -> Option<CapacityReservation> {
    let Some(placing) = placing else {
        return std::future::pending().await;
    };
    placing.await.unwrap_or(None)
}
