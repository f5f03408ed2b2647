use std::sync::Arc;
use std::time::Duration;

use base::{TargetName, TokenCount};
use bytes::Bytes;
use entry::{MovePhase, MovePlan, OutputEstimate, StreamFacts};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};
use web::{EventFrame, EventSplitter, PooledSender};

use super::CallAudit;
use super::answer_word::TargetRun;
use super::call_input::CallInput;
use super::caller_feed::{CallerFeed, FeedEnd};
use super::crash_watch::{note_answered, note_broken};
use super::move_times::MoveTimes;
use super::target_send::TargetHead;
use crate::{CopyAnswer, GatewayCore, PlaceHold};

/// Largest event in bytes.
const EVENT_LIMIT: usize = 1 << 20;
/// Time without anything to do, after which nothing happens.
pub(super) const IDLE: Duration = Duration::from_secs(3_600);

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
    pub feed: CallerFeed,
}

/// What happens next to a stream.
enum PumpEvent {
    Frame(Option<Result<Frame<Bytes>, String>>),
    CallerGone,
    TargetsLeft,
    Copied(CopyAnswer),
    Placed(Option<PlaceHold>),
    MoveDue,
    DeadlineReached,
}

/// Whether the pump goes on.
pub(super) enum PumpState {
    Going,
    Ended,
}

/// Part of a stream in the moves off its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TurnState {
    Idle,
    Waiting,
    Moving,
}

/// Feeds the events of a generation to its caller, also while it moves between engines.
pub struct StreamPump {
    pub(super) core: Arc<GatewayCore>,
    pub(super) call: CallInput,
    pub(super) audit: CallAudit,
    pub(super) hold: PlaceHold,
    pub(super) body: Option<Incoming>,
    pub(super) connection: Option<PooledSender>,
    pub(super) feed: CallerFeed,
    pub(super) splitter: EventSplitter,
    pub(super) is_framed: bool,
    pub(super) facts: StreamFacts,
    guess: OutputEstimate,
    event_tokens: u32,
    pub(super) last_event: Option<SmolStr>,
    pub(super) last_number: Option<u64>,
    pub(super) plan: MovePlan,
    pub(super) next_hold: Option<PlaceHold>,
    pub(super) placing: Option<JoinHandle<Option<PlaceHold>>>,
    pub(super) copying: Option<JoinHandle<CopyAnswer>>,
    pub(super) unused_copy: Option<SmolStr>,
    pub(super) move_times: MoveTimes,
    pub(super) leaving: watch::Receiver<u64>,
    pub(super) move_due: Instant,
    pub(super) turn: TurnState,
    pub(super) full_targets: Vec<TargetName>,
    pub(super) deadline: Instant,
}

impl StreamPump {
    /// Creates the pump of a stream whose head arrived.
    pub fn new(parts: PumpParts) -> Self {
        let size = parts.call.head.generation;
        let event_tokens = parts.call.engine.map_or(1, |spec| spec.event_tokens.max(1));
        let limit = size.map_or(TokenCount(u32::MAX), |size| size.output_limit);
        let guess = size.map_or(OutputEstimate::new(limit, None), |size| size.guess());
        Self {
            is_framed: parts.head.is_framed(),
            leaving: parts.core.watch_leaving(),
            plan: MovePlan::new(parts.hold.target.clone()),
            facts: StreamFacts {
                first_at: None,
                events: 0,
                event_limit: limit.0.div_ceil(event_tokens),
            },
            guess,
            event_tokens,
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
            feed: parts.feed,
            splitter: EventSplitter::new(EVENT_LIMIT),
            last_event: None,
            last_number: None,
            next_hold: None,
            placing: None,
            copying: None,
            unused_copy: None,
            move_times: MoveTimes::default(),
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
        let placing = self.placing.as_mut();
        tokio::select! {
            biased;
            () = self.feed.closed() => PumpEvent::CallerGone,
            // Before the bytes of the engine, which may come without end.
            () = sleep_until(self.deadline) => PumpEvent::DeadlineReached,
            frame = next_frame(body) => PumpEvent::Frame(frame),
            answer = join_copy(copying) => {
                self.copying = None;
                PumpEvent::Copied(answer)
            }
            next = join_placing(placing) => {
                self.placing = None;
                PumpEvent::Placed(next)
            }
            _ = self.leaving.changed() => PumpEvent::TargetsLeft,
            () = sleep_until(self.move_due) => PumpEvent::MoveDue,
        }
    }

    async fn on_event(&mut self, event: PumpEvent) -> PumpState {
        match event {
            PumpEvent::Frame(Some(Ok(frame))) => match frame.into_data() {
                Ok(chunk) => self.on_chunk(chunk).await,
                Err(frame) => {
                    if let Some(trailers) = frame.trailers_ref() {
                        TargetRun::of(&self.hold).note_trailers(&self.core, trailers);
                    }
                    PumpState::Going
                }
            },
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
            PumpEvent::Placed(next) => {
                self.on_placed(next);
                PumpState::Going
            }
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
            match self.feed.send(block, self.deadline).await {
                FeedEnd::Taken => {}
                FeedEnd::CallerGone => {
                    self.audit.explain("caller closed the stream");
                    return PumpState::Ended;
                }
                FeedEnd::TimedOut => {
                    self.fail("deadline_exceeded", "caller does not read");
                    return PumpState::Ended;
                }
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
        self.audit.note_event();
        if self.facts.first_at.is_none() {
            self.facts.first_at = Some(self.core.now());
            self.hold.end_prefill();
            self.consider_move();
        }
        self.note_length();
    }

    /// Corrects the load of a generation that outgrows its guess.
    fn note_length(&mut self) {
        let made = self.facts.events.saturating_mul(self.event_tokens);
        let guess = self.guess.with_progress(TokenCount(made));
        if guess != self.guess {
            let more = guess.mean_held().saturating_sub(self.guess.mean_held());
            self.hold.add_tokens(more);
            self.guess = guess;
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
        note_answered(&self.core, &self.call, &mut self.hold, StatusCode::OK);
        self.feed.complete();
        self.audit.end_stream("answered");
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
        note_broken(&self.core, &self.call, &mut self.hold);
        let target = self.hold.target.clone();
        self.fail("generation_lost", &format!("{target} broke off: {reason}"));
        PumpState::Ended
    }

    pub(super) fn fail(&mut self, outcome: &'static str, reason: &str) {
        self.audit.explain(reason);
        self.audit.end_stream(outcome);
    }
}

async fn next_frame(body: Option<&mut Incoming>) -> Option<Result<Frame<Bytes>, String>> {
    let Some(body) = body else {
        return std::future::pending().await;
    };
    let frame = body.frame().await?;
    Some(frame.map_err(|error| error.to_string()))
}

async fn join_copy(copying: Option<&mut JoinHandle<CopyAnswer>>) -> CopyAnswer {
    let Some(copying) = copying else {
        return std::future::pending().await;
    };
    copying.await.unwrap_or_else(|error| CopyAnswer::Lost {
        reason: error.to_string(),
    })
}

/// A question that failed counts as no room.
async fn join_placing(placing: Option<&mut JoinHandle<Option<PlaceHold>>>) -> Option<PlaceHold> {
    let Some(placing) = placing else {
        return std::future::pending().await;
    };
    placing.await.unwrap_or(None)
}
