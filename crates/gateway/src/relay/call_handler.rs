use std::sync::Arc;

use base::{ByteCount, ErrorKind, EventKind, TargetName, TimeSpan};
use bytes::Bytes;
use calls::RequestFingerprint;
use entry::{BodyLease, CallFeatures, CallVerdict, RepeatPolicy, RouteRule, ServeConfig};
use http::uri::PathAndQuery;
use http::{Request, Response};
use hyper::body::Incoming;
use smol_str::SmolStr;
use web::{BodyError, HandlerFuture, WebBody, WebHandler, read_body_if};

use super::AccessEntry;
use super::admitted_call::{AdmittedCall, host_of, strip_hop_by_hop_headers};
use super::call_admission::CallAdmission;
use super::failure_response::failure_response;
use super::plain_call::relay_plain;
use super::stream_call::relay_stream;
use crate::GatewayCore;
use crate::forward::{CallOrigin, UNREACHABLE_RETRY};
use crate::state::OTHER_NODE_RETRY;

/// HTTP handler of the caller port: admits each call and relays it to a target.
pub struct CallHandler {
    core: Arc<GatewayCore>,
}

impl CallHandler {
    /// Creates the handler.
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }
}

impl WebHandler for CallHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        Box::pin(serve_call(self.core.clone(), request, CallOrigin::Caller))
    }
}

/// Serves a call of a caller, or one that a peer forwards.
pub async fn serve_call(
    core: Arc<GatewayCore>,
    request: Request<Incoming>,
    origin: CallOrigin,
) -> Response<WebBody> {
    let _active = ActiveCall::new(core.clone());
    let mut access_entry = AccessEntry::new(core.clone()).with_origin(&origin);
    let admitted = core
        .until_cut_off(admit_call(&core, &mut access_entry, request, origin))
        .await;
    let admitted = admitted.unwrap_or_else(|| {
        access_entry.add_reason("not read before this node stops");
        Err(refuse(&core, &mut access_entry, ErrorKind::Stopping))
    });
    match admitted {
        Ok(call) if call.admission.route.repeat == RepeatPolicy::Stream => {
            relay_stream(core, call, access_entry).await
        }
        Ok(call) => relay_plain(&core, call, access_entry).await,
        Err(response) => *response,
    }
}

/// Counts a call as active until its response head is ready; dropping it ends the count.
struct ActiveCall {
    core: Arc<GatewayCore>,
}

impl ActiveCall {
    fn new(core: Arc<GatewayCore>) -> Self {
        core.with_state(|state, _| state.active_calls += 1);
        Self { core }
    }
}

impl Drop for ActiveCall {
    fn drop(&mut self) {
        self.core.with_state(|state, _| state.active_calls -= 1);
    }
}

/// Reads a request, matches its route and checks its key, body, crash history and the time left
/// before this node stops; the error is the response to a call that is refused.
async fn admit_call(
    core: &Arc<GatewayCore>,
    access_entry: &mut AccessEntry,
    request: Request<Incoming>,
    origin: CallOrigin,
) -> Result<AdmittedCall, Box<Response<WebBody>>> {
    let (mut parts, body) = request.into_parts();
    let mut caller_headers = match core.ports.headers.read_caller_headers(&parts.headers) {
        Ok(caller_headers) => caller_headers,
        Err(error) => {
            access_entry.add_reason(error.to_string());
            return Err(refuse(core, access_entry, ErrorKind::BadRequest));
        }
    };
    access_entry.request_id = Some(caller_headers.request_id.clone());
    access_entry.size = caller_headers.generation;
    access_entry.shared_parts = caller_headers.shared_parts.clone();
    let config = core.config();
    let config = config.filter(|_| core.with_state(|state, now| state.has_initial_sync(now)));
    let ticket = origin.ticket();
    // A node that knows less than the one that forwards the call would judge it by an older version.
    let config = config.filter(|config| ticket.is_none_or(|one| one.version <= config.version));
    let Some(config) = config else {
        return Err(refuse(core, access_entry, ErrorKind::NotReady));
    };
    if let Some(ticket) = ticket {
        caller_headers.remaining = Some(ticket.remaining);
    }
    access_entry.config_version = config.version;
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let host = host_of(&parts.headers);
    let Some(route) = config.route(&host, path.path()).cloned() else {
        access_entry.add_reason("no route for host and path");
        return Err(refuse(core, access_entry, ErrorKind::NotFound));
    };
    access_entry.route = Some(route.name.clone());
    let key = caller_headers.key.as_deref();
    let admission = match CallAdmission::new(&config, &route, key, None) {
        Ok(admission) => admission,
        Err(kind) => return Err(refuse(core, access_entry, kind)),
    };
    let (body, body_lease) = read_call_body(core, access_entry, &config, &route, body).await?;
    strip_hop_by_hop_headers(&mut parts.headers);
    let timeout = caller_headers
        .remaining
        .map_or(route.timeout, |remaining| remaining.min(route.timeout));
    let scope = format!(
        "{}\n{}",
        path.path(),
        caller_headers.key.as_deref().unwrap_or("")
    );
    let features = CallFeatures::new(RequestFingerprint::new(&scope, &body))
        .with_parts(&caller_headers.shared_parts);
    refuse_crash_suspect(core, access_entry, &features)?;
    let is_recorded = ticket.is_some_and(|ticket| ticket.is_recorded);
    let deadline = match ticket {
        // Of the time that the caller had, some has passed at the node that forwards the call.
        Some(ticket) => access_entry.arrived_at() + ticket.waited + timeout,
        None => access_entry.arrived_at() + timeout,
    };
    let call = AdmittedCall {
        is_recorded,
        peers_refused: false,
        origin,
        method: parts.method,
        host,
        path_and_query: path,
        headers: parts.headers,
        body,
        _body_lease: body_lease,
        admission,
        caller_headers,
        arrived_at: access_entry.arrived_at(),
        deadline,
        features,
    };
    match core.can_finish(call.times(core.now())) {
        true => Ok(call),
        false => {
            access_entry
                .add_reason("the call may take longer than the time left before this node stops");
            Err(refuse(core, access_entry, ErrorKind::Stopping))
        }
    }
}

/// Reads the body of a request as long as there is memory for it.
async fn read_call_body(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    config: &ServeConfig,
    route: &RouteRule,
    body: Incoming,
) -> Result<(Bytes, BodyLease), Box<Response<WebBody>>> {
    let mut lease = core.bodies.new_lease();
    let has_room = |bytes: usize| lease.try_grow_to(ByteCount(bytes as u64));
    let limits = &config.limits;
    let read = read_body_if(body, limits.body_bytes, limits.idle_timeout, has_room).await;
    match read {
        Ok(body) => Ok((body, lease)),
        Err(error @ BodyError::NoRoom) => {
            access_entry.add_reason(SmolStr::from(error.to_string()));
            // By then, calls whose bodies are held now should have ended.
            let (kind, retry) = (ErrorKind::Overloaded, Some(route.latency_target));
            Err(Box::new(failure_response(core, access_entry, kind, retry)))
        }
        Err(error) => Err(refuse_body(core, access_entry, &error)),
    }
}

/// Refuses a call that crashed too many targets, or a part of whose prompt did in other calls.
fn refuse_crash_suspect(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    features: &CallFeatures,
) -> Result<(), Box<Response<WebBody>>> {
    let verdict = core.with_state(|state, now| state.facts.verdict(now, features));
    let CallVerdict::Refused {
        retry_after,
        feature,
    } = verdict
    else {
        return Ok(());
    };
    let crashed = core.with_state(|state, now| state.facts.crashed_targets(now, feature));
    let blamed = match feature == features.request().into() {
        true => "request",
        false => "part",
    };
    log::info!(
        event = EventKind::CrashCondemned.number(),
        node = core.node().as_str(),
        request = access_entry.request_id.as_ref().map_or("", |id| id.as_str()),
        print = feature.to_string().as_str(),
        blamed = blamed,
        targets = join_names(&crashed).as_str(),
        expires_ms = retry_after.as_millis();
        "call refused: the same request, or a part of its prompt, crashed its targets"
    );
    let kind = ErrorKind::CrashSuspect;
    Err(Box::new(failure_response(
        core,
        access_entry,
        kind,
        Some(retry_after),
    )))
}

fn join_names(targets: &[TargetName]) -> String {
    let names: Vec<_> = targets.iter().map(TargetName::as_str).collect();
    names.join(",")
}

/// Response that refuses a call with `kind`; recorded in the access log entry.
pub(super) fn refuse(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    kind: ErrorKind,
) -> Box<Response<WebBody>> {
    let retry_after = retry_elsewhere(kind);
    Box::new(failure_response(core, access_entry, kind, retry_after))
}

/// `Retry-After` for a call that is refused with `kind` and that another node may serve.
pub(super) fn retry_elsewhere(kind: ErrorKind) -> Option<TimeSpan> {
    match kind {
        ErrorKind::NotReady | ErrorKind::NoTarget | ErrorKind::Stopping => Some(OTHER_NODE_RETRY),
        ErrorKind::TargetsUnreachable => Some(UNREACHABLE_RETRY),
        _ => None,
    }
}

fn refuse_body(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    error: &BodyError,
) -> Box<Response<WebBody>> {
    access_entry.add_reason(SmolStr::from(error.to_string()));
    let kind = match error {
        BodyError::TooLarge { .. } => ErrorKind::BodyTooLarge,
        BodyError::NoRoom => ErrorKind::Overloaded,
        BodyError::TimedOut => ErrorKind::RequestTimeout,
        BodyError::Broken { .. } | BodyError::Aborted { .. } => ErrorKind::BadRequest,
    };
    refuse(core, access_entry, kind)
}
