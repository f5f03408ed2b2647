use base::{ErrorKind, EventKind, IncarnationNumber, NodeName, RanState, TimeSpan};
use calls::{CallFailure, CallOutcome};
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, RETRY_AFTER};
use rand::seq::SliceRandom;
use web::{BodyError, PooledConnection, WebBody, stream_body};

use super::CallInput;
use super::call_run::{failed_outcome, whole_outcome};
use crate::wire::{KEY_HEADER, RAN_HEADER};
use crate::{AnswerHead, ForwardedCall, NodeCore, PeerFailure, SharedAnswer, WorkPermit};

/// Headers of a response that travel back to the caller.
const KEPT_HEADERS: [HeaderName; 6] = [
    CONTENT_TYPE,
    RETRY_AFTER,
    CACHE_CONTROL,
    HeaderName::from_static(RAN_HEADER),
    HeaderName::from_static("x-should-retry"),
    HeaderName::from_static("x-idempotent-replay"),
];
/// Nodes of other domains that are tried, as long as nothing was sent to the one before.
const FAR_TRIES: usize = 3;

/// Passes a call on to the node that alone may run it.
pub async fn forward_call(
    core: &NodeCore,
    input: &CallInput,
    to: &NodeName,
    run: Option<IncarnationNumber>,
    permit: WorkPermit,
) -> Result<Response<WebBody>, CallFailure> {
    let call = make_call(input, run, input.overflow);
    let detail = format!("to {to}");
    core.note(EventKind::CallForwarded, &input.request, &detail);
    match core.peers.forward(to, &call, wait_left(core, input)).await {
        Ok((response, connection)) => Ok(pass_back(core, response, connection, permit)),
        Err(_) => Err(CallFailure::new(ErrorKind::OwnerUnreachable)),
    }
}

/// Passes a call on to another failure domain, as the own one has no target for it.
pub async fn forward_far(
    core: &NodeCore,
    input: &CallInput,
    permit: WorkPermit,
) -> Result<Response<WebBody>, CallFailure> {
    let mut nodes = core.fleet.far_nodes().await;
    // A random choice spreads the calls of a lost domain over the others.
    nodes.shuffle(&mut rand::rng());
    let mut call = make_call(input, None, true);
    // The key stays with its owner, which sends the call on once.
    call.headers.remove(KEY_HEADER);
    for node in nodes.iter().take(FAR_TRIES) {
        let detail = format!("to {node}, as no target of this domain can serve it");
        core.note(EventKind::CallForwarded, &input.request, &detail);
        match core
            .peers
            .forward(node, &call, wait_left(core, input))
            .await
        {
            Ok((response, connection)) => {
                return Ok(pass_back(core, response, connection, permit));
            }
            Err(PeerFailure::NoReply { .. }) => {
                return Err(CallFailure::new(ErrorKind::TargetLost));
            }
            Err(PeerFailure::NoAddress { .. } | PeerFailure::Unsent { .. }) => {}
        }
    }
    Err(CallFailure::new(ErrorKind::NoTarget).with_ran(RanState::No))
}

/// Another failure domain is asked only if the own one has no target at all.
pub fn wants_far(failure: &CallFailure, input: &CallInput) -> bool {
    failure.kind == ErrorKind::NoTarget && failure.ran == RanState::No && !input.overflow
}

/// Passes a call on to another failure domain and writes its answer for any number of readers.
pub async fn forward_far_to(
    core: &NodeCore,
    input: &CallInput,
    answer: &SharedAnswer,
) -> CallOutcome {
    let Some(permit) = core.gate.enter() else {
        return end_unrun(answer, CallFailure::new(ErrorKind::Stopping));
    };
    let response = match forward_far(core, input, permit).await {
        Ok(response) => response,
        Err(failure) if failure.ran == RanState::No => return end_unrun(answer, failure),
        Err(failure) => {
            answer.fail(failure);
            return CallOutcome::Unanswered(failure.ran);
        }
    };
    let (head, mut body) = response.into_parts();
    let ran = head.headers.get(RAN_HEADER);
    if ran.is_some_and(|value| value == "no") {
        return end_unrun(answer, CallFailure::new(ErrorKind::NoTarget));
    }
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    answer.set_head(AnswerHead {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or_default().into(),
    });
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(chunk)) => answer.push(chunk),
            Ok(Err(_)) => {}
            Err(_) => {
                let failure = CallFailure::new(ErrorKind::TargetLost);
                answer.fail(failure);
                return failed_outcome(answer, &failure);
            }
        }
    }
    answer.end();
    whole_outcome(answer)
}

fn end_unrun(answer: &SharedAnswer, failure: CallFailure) -> CallOutcome {
    answer.fail(failure);
    CallOutcome::NotRun
}

fn make_call(input: &CallInput, run: Option<IncarnationNumber>, overflow: bool) -> ForwardedCall {
    ForwardedCall {
        workspace: input.workspace.name.clone(),
        incarnation: run,
        hops: input.hops + 1,
        overflow,
        method: input.method.clone(),
        path: input.path.clone(),
        headers: input.kept_headers(),
        body: input.body.clone(),
    }
}

/// The receiver answers by the deadline; a little more lets its answer arrive.
fn wait_left(core: &NodeCore, input: &CallInput) -> TimeSpan {
    let deadline = input.deadline(core.limits.deadline);
    let left = deadline.map_or(TimeSpan::ZERO, |at| at - core.clock.now());
    left + TimeSpan::from_secs(1)
}

fn pass_back(
    core: &NodeCore,
    response: Response<Incoming>,
    connection: PooledConnection,
    permit: WorkPermit,
) -> Response<WebBody> {
    let (head, body) = response.into_parts();
    let pool = core.pool.clone();
    let state = Some((body, connection, permit));
    let parts = unfold(state, move |state| {
        let pool = pool.clone();
        async move {
            let (mut body, connection, permit) = state?;
            match body.frame().await {
                None => {
                    pool.release(connection);
                    None
                }
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    Some((Ok(data), Some((body, connection, permit))))
                }
                Some(Err(source)) => Some((Err(BodyError::Broken { source }), None)),
            }
        }
    });
    let mut passed = Response::new(stream_body(parts));
    *passed.status_mut() = head.status;
    for name in KEPT_HEADERS {
        if let Some(value) = head.headers.get(&name) {
            passed.headers_mut().insert(name, value.clone());
        }
    }
    passed
}
