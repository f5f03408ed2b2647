use std::sync::Arc;

use base::ErrorKind;
use bytes::Bytes;
use calls::{CallFailure, CallOutcome, RetainedAnswer};
use tokio::sync::OwnedSemaphorePermit;

use super::forward_call::{forward_to_other_domain_shared, may_forward_to_other_domain};
use super::{CallInput, error_object};
use crate::{
    AnswerHead, GenerationOutput, GenerationRelay, NodeCore, ServiceOutput, ServiceRelay,
    SharedAnswer, WorkPermit,
};

/// A part of the response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status and content type; comes before any chunk.
    Head(AnswerHead),
    /// A part of the body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The response ends here incomplete, or there is none.
    Failed(CallFailure),
    /// The first caller gets an error now, while the call continues.
    Detached(CallFailure),
}

/// Relay that carries out the call.
enum ActiveRelay {
    Generation(Box<GenerationRelay>),
    Service(Box<ServiceRelay>),
}

/// A call in progress, at an engine or at a plain service.
pub struct ActiveCall {
    relay: ActiveRelay,
    /// Whether the caller gets server-sent events.
    streamed: bool,
    head_sent: bool,
    /// Parts of the last output of the relay, in reverse order.
    pending: Vec<ResponsePart>,
    /// A planned stop of the node waits until it is dropped.
    _permit: WorkPermit,
    /// Permit of a call from another failure domain, which bounds how many run at once.
    overflow_permit: Option<Arc<OwnedSemaphorePermit>>,
}

impl ActiveCall {
    /// Creates the call of a generation.
    pub fn from_generation(relay: GenerationRelay, streamed: bool, permit: WorkPermit) -> Self {
        Self::new(ActiveRelay::Generation(Box::new(relay)), streamed, permit)
    }

    /// Creates the call of a plain service.
    pub fn from_service(relay: ServiceRelay, permit: WorkPermit) -> Self {
        Self::new(ActiveRelay::Service(Box::new(relay)), false, permit)
    }

    fn new(relay: ActiveRelay, streamed: bool, permit: WorkPermit) -> Self {
        Self {
            relay,
            streamed,
            head_sent: false,
            pending: Vec::new(),
            _permit: permit,
            overflow_permit: None,
        }
    }

    /// Holds the permit of a call from another failure domain until the call is dropped.
    #[must_use]
    pub fn with_overflow_permit(
        mut self,
        overflow_permit: Option<Arc<OwnedSemaphorePermit>>,
    ) -> Self {
        self.overflow_permit = overflow_permit;
        self
    }

    /// Returns the next part of the response; `None` after the last one.
    pub async fn next_part(&mut self) -> Option<ResponsePart> {
        if let Some(part) = self.pending.pop() {
            return Some(part);
        }
        match &mut self.relay {
            ActiveRelay::Generation(relay) => {
                let output = relay.next_output().await?;
                self.queue_parts(output);
                self.pending.pop()
            }
            ActiveRelay::Service(relay) => Some(match relay.next_output().await? {
                ServiceOutput::Head(head) => ResponsePart::Head(head),
                ServiceOutput::Chunk(chunk) => ResponsePart::Chunk(chunk),
                ServiceOutput::End => ResponsePart::End,
                ServiceOutput::Failed(failure) => ResponsePart::Failed(failure),
                ServiceOutput::Detached(failure) => ResponsePart::Detached(failure),
            }),
        }
    }

    /// Queues the parts of an output in reverse order, since `next_part` takes them from the end.
    fn queue_parts(&mut self, output: GenerationOutput) {
        match output {
            GenerationOutput::Chunk(chunk) => self.pending.push(ResponsePart::Chunk(chunk)),
            GenerationOutput::Finished(rest) => {
                self.pending.push(ResponsePart::End);
                self.pending.push(ResponsePart::Chunk(rest));
            }
            GenerationOutput::Detached(failure) => {
                self.pending.push(ResponsePart::Detached(failure));
                return;
            }
            GenerationOutput::Failed(failure) => {
                self.pending.push(ResponsePart::Failed(failure));
                if self.head_sent && self.streamed {
                    self.pending
                        .push(ResponsePart::Chunk(failure_event(&failure)));
                }
                return;
            }
            GenerationOutput::Rejected { status, body } => {
                self.pending.push(ResponsePart::End);
                self.pending.push(ResponsePart::Chunk(body));
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
        if !std::mem::replace(&mut self.head_sent, true) {
            self.pending.push(ResponsePart::Head(AnswerHead {
                status,
                content_type: content_type.into(),
            }));
        }
    }

    /// Runs the call to its end and writes the response to an answer with any number of readers. A
    /// call that this failure domain can't serve is forwarded to another one.
    pub async fn write_to(
        mut self,
        core: &NodeCore,
        input: &CallInput,
        answer: &SharedAnswer,
    ) -> CallOutcome {
        let mut failed = None;
        while let Some(part) = self.next_part().await {
            match part {
                ResponsePart::Head(head) => answer.set_head(head),
                ResponsePart::Chunk(chunk) => answer.push(chunk),
                ResponsePart::End => answer.end(),
                ResponsePart::Failed(failure) if may_forward_to_other_domain(&failure, input) => {
                    return forward_to_other_domain_shared(core, input, answer).await;
                }
                ResponsePart::Failed(failure) => {
                    failed = Some(failure);
                    answer.fail(failure);
                }
                // Each reader gets the error at its own deadline.
                ResponsePart::Detached(_) => {}
            }
        }
        match failed {
            Some(failure) => failed_outcome(answer, &failure),
            None => complete_outcome(answer),
        }
    }
}

/// Error event for a stream that has begun; no `[DONE]` follows it.
fn failure_event(failure: &CallFailure) -> Bytes {
    let text = error_object(failure, failure.kind.into()).to_string();
    format!("data: {text}\n\n").into()
}

/// Outcome of a call whose answer is complete, to be retained for later sends of its key.
pub fn complete_outcome(answer: &SharedAnswer) -> CallOutcome {
    let (Some(head), Some(body)) = (answer.head(), answer.complete_body()) else {
        return CallOutcome::Unanswered(base::RanState::Unknown);
    };
    CallOutcome::Answered(Arc::new(RetainedAnswer {
        status: head.status,
        content_type: head.content_type,
        body: body.to_vec().into(),
    }))
}

/// Outcome of a failed call.
///
/// A call that may have run, and had no response head yet, is answered with its error for as long
/// as the outcome is retained.
pub fn failed_outcome(answer: &SharedAnswer, failure: &CallFailure) -> CallOutcome {
    if failure.ran == base::RanState::No && answer.head().is_none() {
        return CallOutcome::NotRun;
    }
    if answer.head().is_some() || failure.kind == ErrorKind::Internal {
        return CallOutcome::Unanswered(failure.ran);
    }
    let body = error_object(failure, failure.kind.into()).to_string();
    CallOutcome::Answered(Arc::new(RetainedAnswer {
        status: failure.kind.answer().status,
        content_type: "application/json".into(),
        body: body.into_bytes().into(),
    }))
}
