use std::sync::Arc;

use base::ErrorKind;
use bytes::Bytes;
use calls::{CallFailure, CallOutcome, RetainedAnswer};
use tokio::sync::OwnedSemaphorePermit;

use super::forward_call::{forward_far_to, wants_far};
use super::{CallInput, error_object};
use crate::{
    AnswerHead, CallRelay, NodeCore, RelayStep, ServiceRelay, ServiceStep, SharedAnswer, WorkPermit,
};

/// A part of an answer that is being made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunPart {
    /// Status and type, before any chunk.
    Head(AnswerHead),
    /// A part of the body.
    Chunk(Bytes),
    /// The answer is whole.
    End,
    /// The answer ends here without being whole, or there is none.
    Failed(CallFailure),
    /// The work goes on, but its first caller gets an error now.
    Detached(CallFailure),
}

enum RunKind {
    Generation(Box<CallRelay>),
    Service(Box<ServiceRelay>),
}

/// One call under way, of an engine or of a service.
pub struct CallRun {
    kind: RunKind,
    streamed: bool,
    headed: bool,
    /// Parts that follow from one step of the relay.
    pending: Vec<RunPart>,
    /// Keeps a planned stop waiting.
    _permit: WorkPermit,
    /// Place among the calls of other failure domains.
    place: Option<Arc<OwnedSemaphorePermit>>,
}

impl CallRun {
    /// Creates the run of a generation.
    pub fn with_generation(relay: CallRelay, streamed: bool, permit: WorkPermit) -> Self {
        Self::new(RunKind::Generation(Box::new(relay)), streamed, permit)
    }

    /// Creates the run of a service call.
    pub fn with_service(relay: ServiceRelay, permit: WorkPermit) -> Self {
        Self::new(RunKind::Service(Box::new(relay)), false, permit)
    }

    fn new(kind: RunKind, streamed: bool, permit: WorkPermit) -> Self {
        Self {
            kind,
            streamed,
            headed: false,
            pending: Vec::new(),
            _permit: permit,
            place: None,
        }
    }

    /// Returns this run with its place among the calls of other failure domains.
    #[must_use]
    pub fn with_place(mut self, place: Option<Arc<OwnedSemaphorePermit>>) -> Self {
        self.place = place;
        self
    }

    /// Returns the next part of the answer; `None` after the last one.
    pub async fn next_part(&mut self) -> Option<RunPart> {
        if let Some(part) = self.pending.pop() {
            return Some(part);
        }
        match &mut self.kind {
            RunKind::Generation(relay) => {
                let step = relay.next_step().await?;
                self.take_step(step);
                self.pending.pop()
            }
            RunKind::Service(relay) => Some(match relay.next_step().await? {
                ServiceStep::Head(head) => RunPart::Head(head),
                ServiceStep::Chunk(chunk) => RunPart::Chunk(chunk),
                ServiceStep::End => RunPart::End,
                ServiceStep::Failed(failure) => RunPart::Failed(failure),
                ServiceStep::Detached(failure) => RunPart::Detached(failure),
            }),
        }
    }

    /// Queues the parts of a step, the first one last.
    fn take_step(&mut self, step: RelayStep) {
        match step {
            RelayStep::Chunk(chunk) => self.pending.push(RunPart::Chunk(chunk)),
            RelayStep::Finished(rest) => {
                self.pending.push(RunPart::End);
                self.pending.push(RunPart::Chunk(rest));
            }
            RelayStep::Detached(failure) => {
                self.pending.push(RunPart::Detached(failure));
                return;
            }
            RelayStep::Failed(failure) => {
                self.pending.push(RunPart::Failed(failure));
                if self.headed && self.streamed {
                    self.pending.push(RunPart::Chunk(failure_event(&failure)));
                }
                return;
            }
            RelayStep::Rejected { status, body } => {
                self.pending.push(RunPart::End);
                self.pending.push(RunPart::Chunk(body));
                self.push_head(status, "application/json");
                return;
            }
        }
        let content_type = match self.streamed {
            true => "text/event-stream",
            false => "application/json",
        };
        self.push_head(200, content_type);
    }

    fn push_head(&mut self, status: u16, content_type: &str) {
        if !std::mem::replace(&mut self.headed, true) {
            self.pending.push(RunPart::Head(AnswerHead {
                status,
                content_type: content_type.into(),
            }));
        }
    }

    /// Runs to the end and writes the answer for any number of readers; a call that the own
    /// failure domain can't serve is passed on to another one.
    pub async fn write_to(
        mut self,
        core: &NodeCore,
        input: &CallInput,
        answer: &SharedAnswer,
    ) -> CallOutcome {
        let mut failed = None;
        while let Some(part) = self.next_part().await {
            match part {
                RunPart::Head(head) => answer.set_head(head),
                RunPart::Chunk(chunk) => answer.push(chunk),
                RunPart::End => answer.end(),
                RunPart::Failed(failure) if wants_far(&failure, input) => {
                    return forward_far_to(core, input, answer).await;
                }
                RunPart::Failed(failure) => {
                    failed = Some(failure);
                    answer.fail(failure);
                }
                // Readers are told by their own deadlines.
                RunPart::Detached(_) => {}
            }
        }
        match failed {
            Some(failure) => failed_outcome(answer, &failure),
            None => whole_outcome(answer),
        }
    }
}

/// An error in a stream that has begun; there is no `[DONE]` after it.
fn failure_event(failure: &CallFailure) -> Bytes {
    let text = error_object(failure, failure.kind.into()).to_string();
    format!("data: {text}\n\n").into()
}

pub fn whole_outcome(answer: &SharedAnswer) -> CallOutcome {
    let (Some(head), Some(body)) = (answer.head(), answer.whole_body()) else {
        return CallOutcome::Unanswered(base::RanState::Unknown);
    };
    CallOutcome::Answered(Arc::new(RetainedAnswer {
        status: head.status,
        content_type: head.content_type,
        body: body.to_vec().into(),
    }))
}

/// A failed call that may have run is answered with its failure for as long as it is retained.
pub fn failed_outcome(answer: &SharedAnswer, failure: &CallFailure) -> CallOutcome {
    if failure.ran == base::RanState::No && answer.head().is_none() {
        return CallOutcome::NotRun;
    }
    if answer.head().is_some() || failure.kind == ErrorKind::Internal {
        return CallOutcome::Unanswered(failure.ran);
    }
    let body = error_object(failure, failure.kind.into()).to_string();
    CallOutcome::Answered(Arc::new(RetainedAnswer {
        status: failure.kind.response().status,
        content_type: "application/json".into(),
        body: body.into_bytes().into(),
    }))
}
