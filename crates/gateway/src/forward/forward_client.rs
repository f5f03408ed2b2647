use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{ByteCount, ErrorKind, RanState, TimeSpan};
use http::{HeaderValue, Method, Request, Response};
use hyper::body::Incoming;
use metrics::counter;
use tokio::time::timeout_at;
use web::{BodyError, PooledConnection, ReusePolicy, WebBody, full_body, read_body_if};

use super::forward_ticket::ANSWERED;
use super::forwarded_stream::ForwardedStream;
use super::{FORWARD_HEADER, ForwardTicket, OUTCOME_HEADER};
use crate::GatewayCore;
use crate::peer::CALLS_PATH;
use crate::relay::{
    AccessEntry, AdmittedCall, BufferedResponse, LeasedBody, ResponseSender, close_if_stopping,
    deliver_response, strip_hop_by_hop_headers,
};

/// Largest number of peers to which one call is forwarded.
const MAX_PEERS_TRIED: usize = 3;
/// Time after the deadline of a call within which the response of a peer, which ends the call at the deadline,
/// is awaited.
const RESPONSE_MARGIN: TimeSpan = TimeSpan::new(50);
/// `Retry-After` for calls that no node can send.
pub const UNREACHABLE_RETRY: TimeSpan = TimeSpan::new(250);

/// How a call reaches the targets of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallRoute {
    /// This node sends it.
    Direct,
    /// A peer has to send it.
    ByPeer,
    /// Not at all, as far as is known.
    Unreachable,
}

/// Outcome of forwarding a call.
pub enum ForwardOutcome {
    /// The response for the caller.
    Answered(Response<WebBody>),
    /// No peer took the call; it was not sent to any target.
    Refused,
    /// A peer took the call, and no complete response arrived; it may have run.
    Lost,
    /// No response arrived in time; the call may have run.
    TimedOut,
    /// The call ran, and its response is too large for the memory left.
    TooLarge,
}

/// Response of a peer that took a call, whose body is not read yet.
pub struct PeerResponse {
    /// Head of the response and its unread body.
    pub response: Response<Incoming>,
    /// Connection of the response. The peer learns by its end that the caller left.
    pub connection: PooledConnection,
}

/// The response of a peer that took the call, or why there is none.
enum PeerOutcome {
    Answered(Box<PeerResponse>),
    /// The call was not sent to any target.
    Refused(String),
    Lost,
    TimedOut,
}

/// Chooses how a call reaches the targets of its service.
///
/// Without a path, and without a peer that may have one or if those refused the call, targets to which no
/// connection has failed yet are tried all the same.
pub fn choose_route(core: &GatewayCore, call: &AdmittedCall) -> CallRoute {
    let service = &call.admission.service;
    core.with_state(|state, now| {
        if !state.paths.is_lost(service) {
            return CallRoute::Direct;
        }
        if call.is_forwarded() {
            return CallRoute::Unreachable;
        }
        if call.may_forward() && state.pick_helper(now, service, &[]).is_some() {
            return CallRoute::ByPeer;
        }
        match state.has_untried_target(service) {
            true => CallRoute::Direct,
            false => CallRoute::Unreachable,
        }
    })
}

/// Forwards a plain call, which was sent to `earlier_runs` targets before, and reads the whole response.
pub async fn forward_plain(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    access_entry: &mut AccessEntry,
    earlier_runs: u32,
) -> ForwardOutcome {
    let deadline = call.deadline_instant(core.now()) + Duration::from(RESPONSE_MARGIN);
    let answered = match forward_call(core, call, access_entry, earlier_runs).await {
        Ok(answered) => answered,
        Err(outcome) => return outcome,
    };
    access_entry.record_first_byte();
    let (mut parts, body) = answered.response.into_parts();
    let mut lease = core.bodies.new_lease();
    let limit = core.settings.response_limit.0 as usize;
    let idle = call.remaining(core.now()) + RESPONSE_MARGIN;
    let has_room = |bytes: usize| lease.try_grow_to(ByteCount(bytes as u64));
    let read = read_body_if(body, limit, idle, has_room);
    let body = match timeout_at(deadline, read).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge { .. } | BodyError::NoRoom)) => return ForwardOutcome::TooLarge,
        Ok(Err(_)) => return ForwardOutcome::Lost,
        Err(_) => return ForwardOutcome::TimedOut,
    };
    drop(answered.connection);
    strip_response_headers(&mut parts.headers);
    let response = BufferedResponse {
        status: parts.status,
        headers: parts.headers,
        body: LeasedBody::new(body, lease).into_bytes(),
    };
    ForwardOutcome::Answered(deliver_response(core, access_entry, response))
}

/// Relays the response of a peer to a forwarded generation by a task, as it arrives.
pub fn relay_forwarded(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    mut access_entry: AccessEntry,
    answered: PeerResponse,
) -> Response<WebBody> {
    let deadline = call.deadline_instant(core.now());
    let status = answered.response.status();
    access_entry.set_outcome(status.as_u16(), "caller_gone");
    let mut headers = answered.response.headers().clone();
    strip_response_headers(&mut headers);
    close_if_stopping(core, &mut headers);
    let (sender, body) = ResponseSender::new();
    let stream = ForwardedStream::new(core.clone(), access_entry, answered, sender, deadline);
    tokio::spawn(stream.run());
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Forwards a call, which was sent to `earlier_runs` targets before, to peers in turn until one takes it.
///
/// # Errors
/// Why no peer answered.
pub async fn forward_call(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    access_entry: &mut AccessEntry,
    earlier_runs: u32,
) -> Result<PeerResponse, ForwardOutcome> {
    let service = &call.admission.service;
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS_TRIED {
        let helper = core.with_state(|state, now| state.pick_helper(now, service, &tried));
        let Some(peer) = helper else { break };
        tried.push(peer);
        let outcome = send_to_peer(core, call, peer, earlier_runs).await;
        access_entry.forwarded_to = Some(peer);
        let label = match &outcome {
            PeerOutcome::Answered(_) => "answered",
            PeerOutcome::Refused(_) => "refused",
            PeerOutcome::Lost => "lost",
            PeerOutcome::TimedOut => "timed_out",
        };
        counter!("gateway_forwarded_calls_total", "outcome" => label).increment(1);
        match outcome {
            PeerOutcome::Answered(answered) => return Ok(*answered),
            PeerOutcome::Refused(reason) => access_entry.add_reason(format!("{peer}: {reason}")),
            PeerOutcome::Lost => return Err(ForwardOutcome::Lost),
            PeerOutcome::TimedOut => return Err(ForwardOutcome::TimedOut),
        }
    }
    Err(ForwardOutcome::Refused)
}

async fn send_to_peer(
    core: &Arc<GatewayCore>,
    call: &AdmittedCall,
    peer: SocketAddr,
    earlier_runs: u32,
) -> PeerOutcome {
    let deadline = call.deadline_instant(core.now());
    let connected = core.peer_pool.connect(peer, ReusePolicy::NewOnly);
    let mut connection = match timeout_at(deadline, connected).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => {
            core.with_state(|state, now| state.coordinator.mark_unreachable(now, peer));
            return PeerOutcome::Refused(error.to_string());
        }
        Err(_) => return PeerOutcome::Refused("no time left to connect".to_owned()),
    };
    let Some(request) = build_request(core, call, earlier_runs) else {
        return PeerOutcome::Refused("the call can't be forwarded".to_owned());
    };
    let sent = timeout_at(
        deadline + Duration::from(RESPONSE_MARGIN),
        connection.send(request),
    );
    let response = match sent.await {
        Ok(Ok(response)) => response,
        Ok(Err((error, Some(_)))) => return PeerOutcome::Refused(error.to_string()),
        Ok(Err((_, None))) => return PeerOutcome::Lost,
        Err(_) => return PeerOutcome::TimedOut,
    };
    match refusal_reason(&response, earlier_runs) {
        Some(reason) => PeerOutcome::Refused(reason),
        None => PeerOutcome::Answered(Box::new(PeerResponse {
            response,
            connection,
        })),
    }
}

/// Why a peer did not take the call, so that another one may get it; `None` if its response is for the
/// caller.
fn refusal_reason(response: &Response<Incoming>, earlier_runs: u32) -> Option<String> {
    let outcome = response.headers().get(OUTCOME_HEADER);
    let Some(outcome) = outcome.and_then(|value| value.to_str().ok()) else {
        // A peer of an earlier build knows no forwarded calls.
        return Some(format!("refused with {}", response.status()));
    };
    if outcome == ANSWERED {
        return None;
    }
    match outcome.parse() {
        // A peer with another configuration may not know the key or the route.
        Ok(
            kind @ (ErrorKind::NotReady
            | ErrorKind::Stopping
            | ErrorKind::NoTarget
            | ErrorKind::TargetsUnreachable
            | ErrorKind::NotFound
            | ErrorKind::UnknownKey),
        ) => Some(format!("refused: {kind}")),
        // The peer did not run the call, but an earlier target may have.
        Ok(kind) if earlier_runs > 0 && kind.response().ran == RanState::No => {
            Some(format!("refused: {kind}"))
        }
        Ok(_) | Err(_) => None,
    }
}

fn build_request(
    core: &GatewayCore,
    call: &AdmittedCall,
    earlier_runs: u32,
) -> Option<Request<WebBody>> {
    let now = core.now();
    let ticket = ForwardTicket {
        method: call.method.clone(),
        remaining: call.remaining(now),
        waited: now.since(call.arrived_at),
        earlier_runs,
        is_recorded: call.is_recorded,
        version: call.admission.version,
        target: call.path_and_query.clone(),
    };
    let mut request = Request::new(full_body(call.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = CALLS_PATH.parse().ok()?;
    *request.headers_mut() = call.headers.clone();
    let value = HeaderValue::from_str(&ticket.to_string()).ok()?;
    request.headers_mut().insert(FORWARD_HEADER, value);
    Some(request)
}

fn strip_response_headers(headers: &mut http::HeaderMap) {
    strip_hop_by_hop_headers(headers);
    headers.remove(OUTCOME_HEADER);
}
