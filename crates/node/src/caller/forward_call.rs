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
use super::active_call::{complete_outcome, failed_outcome};
use crate::headers::{IDEMPOTENCY_KEY_HEADER, REQUEST_RAN_HEADER};
use crate::{AnswerHead, ForwardedCall, NodeCore, PeerError, SharedAnswer, WorkPermit};

/// Headers of another node's response that are returned to the caller.
const RETURNED_HEADERS: [HeaderName; 6] = [
    CONTENT_TYPE,
    RETRY_AFTER,
    CACHE_CONTROL,
    HeaderName::from_static(REQUEST_RAN_HEADER),
    HeaderName::from_static("x-should-retry"),
    HeaderName::from_static("x-idempotent-replay"),
];
/// Maximum number of nodes of other domains that are tried; the next one is only tried if nothing
/// was sent to the previous one.
const OTHER_DOMAIN_ATTEMPTS: usize = 3;

/// Forwards a call to the node that owns its key, the only one that may run it.
pub async fn forward_call(
    core: &NodeCore,
    input: &CallInput,
    to: &NodeName,
    incarnation: Option<IncarnationNumber>,
    permit: WorkPermit,
) -> Result<Response<WebBody>, CallFailure> {
    let call = make_forwarded_call(input, incarnation, input.overflow);
    let detail = format!("to {to}");
    core.record_for_request(EventKind::CallForwarded, &input.request, &detail);
    match core
        .peers
        .forward(to, &call, response_timeout(core, input))
        .await
    {
        Ok((response, connection)) => Ok(relay_response(core, response, connection, permit)),
        Err(_) => Err(CallFailure::new(ErrorKind::OwnerUnreachable)),
    }
}

/// Forwards a call to a node of another failure domain, because this one has no target for it.
pub async fn forward_to_other_domain(
    core: &NodeCore,
    input: &CallInput,
    permit: WorkPermit,
) -> Result<Response<WebBody>, CallFailure> {
    let mut nodes = core.fleet.other_domain_nodes().await;
    // A random order distributes the calls of a lost domain over the other domains.
    nodes.shuffle(&mut rand::rng());
    let mut call = make_forwarded_call(input, None, true);
    // The key stays with its owner, which forwards the call only once.
    call.headers.remove(IDEMPOTENCY_KEY_HEADER);
    for node in nodes.iter().take(OTHER_DOMAIN_ATTEMPTS) {
        let detail = format!("to {node}, as no target of this domain can serve it");
        core.record_for_request(EventKind::CallForwarded, &input.request, &detail);
        match core
            .peers
            .forward(node, &call, response_timeout(core, input))
            .await
        {
            Ok((response, connection)) => {
                return Ok(relay_response(core, response, connection, permit));
            }
            Err(PeerError::NoResponse { .. }) => {
                return Err(CallFailure::new(ErrorKind::TargetLost));
            }
            Err(PeerError::NoAddress { .. } | PeerError::Unsent { .. }) => {}
        }
    }
    Err(CallFailure::new(ErrorKind::NoTarget).with_ran(RanState::No))
}

/// Tells whether a failed call may be forwarded to another failure domain: this one has no target
/// for it at all, and the call was not forwarded from another domain itself.
pub fn may_forward_to_other_domain(failure: &CallFailure, input: &CallInput) -> bool {
    failure.kind == ErrorKind::NoTarget && failure.ran == RanState::No && !input.overflow
}

/// Forwards a call to another failure domain and writes the response to an answer with any number
/// of readers.
pub async fn forward_to_other_domain_shared(
    core: &NodeCore,
    input: &CallInput,
    answer: &SharedAnswer,
) -> CallOutcome {
    let Some(permit) = core.gate.enter() else {
        return fail_not_run(answer, CallFailure::new(ErrorKind::Stopping));
    };
    let response = match forward_to_other_domain(core, input, permit).await {
        Ok(response) => response,
        Err(failure) if failure.ran == RanState::No => return fail_not_run(answer, failure),
        Err(failure) => {
            answer.fail(failure);
            return CallOutcome::Unanswered(failure.ran);
        }
    };
    let (head, mut body) = response.into_parts();
    let ran = head.headers.get(REQUEST_RAN_HEADER);
    if ran.is_some_and(|value| value == "no") {
        return fail_not_run(answer, CallFailure::new(ErrorKind::NoTarget));
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
    complete_outcome(answer)
}

/// Ends an answer with the error of a call that did not run.
fn fail_not_run(answer: &SharedAnswer, failure: CallFailure) -> CallOutcome {
    answer.fail(failure);
    CallOutcome::NotRun
}

fn make_forwarded_call(
    input: &CallInput,
    incarnation: Option<IncarnationNumber>,
    overflow: bool,
) -> ForwardedCall {
    ForwardedCall {
        workspace: input.workspace.name.clone(),
        incarnation,
        hops: input.hops + 1,
        overflow,
        method: input.method.clone(),
        path: input.path.clone(),
        headers: input.forwarded_headers(),
        body: input.body.clone(),
    }
}

/// Time to wait for the other node: until the deadline, by which that node responds, and one more
/// second for its response to arrive.
fn response_timeout(core: &NodeCore, input: &CallInput) -> TimeSpan {
    let deadline = input.deadline(core.limits.default_deadline);
    let left = deadline.map_or(TimeSpan::ZERO, |at| at - core.clock.now());
    left + TimeSpan::from_secs(1)
}

/// Response that passes on the response of another node; its body holds `permit` until its end.
fn relay_response(
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
    for name in RETURNED_HEADERS {
        if let Some(value) = head.headers.get(&name) {
            passed.headers_mut().insert(name, value.clone());
        }
    }
    passed
}
