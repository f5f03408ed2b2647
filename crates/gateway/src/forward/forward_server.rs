use std::sync::Arc;

use base::ErrorKind;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use web::{WebBody, empty_body};

use super::forward_ticket::ANSWERED;
use super::{FORWARD_HEADER, ForwardTicket, OUTCOME_HEADER};
use crate::GatewayCore;
use crate::relay::serve_call;

/// From whom this node got a call.
#[derive(Clone, Debug)]
pub enum CallOrigin {
    /// The caller itself.
    Caller,
    /// A peer that has no path to the targets.
    Peer(Box<ForwardTicket>),
}

impl CallOrigin {
    /// The ticket of a forwarded call.
    pub fn ticket(&self) -> Option<&ForwardTicket> {
        match self {
            Self::Caller => None,
            Self::Peer(ticket) => Some(ticket),
        }
    }
}

/// Serves a call that a peer forwards. The response states in a header whether it is a target's own.
pub async fn serve_forwarded(
    core: &Arc<GatewayCore>,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let Some((ticket, request)) = read_ticket(request) else {
        let mut response = Response::new(empty_body());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let origin = CallOrigin::Peer(Box::new(ticket));
    let mut response = serve_call(core.clone(), request, origin).await;
    let answered = HeaderValue::from_static(ANSWERED);
    let outcome = response.headers_mut().entry(OUTCOME_HEADER);
    outcome.or_insert(answered);
    response
}

/// States in a response that this node refused the call.
pub fn mark_refusal(headers: &mut HeaderMap, kind: ErrorKind) {
    let name: &'static str = kind.into();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(name));
}

/// Restores the request of the caller from that of the peer.
fn read_ticket(request: Request<Incoming>) -> Option<(ForwardTicket, Request<Incoming>)> {
    let (mut parts, body) = request.into_parts();
    let value = parts.headers.remove(FORWARD_HEADER)?;
    let ticket: ForwardTicket = value.to_str().ok()?.parse().ok()?;
    parts.method = ticket.method.clone();
    parts.uri = Uri::from(ticket.target.clone());
    Some((ticket, Request::from_parts(parts, body)))
}
