use std::sync::Arc;

use base::{ErrorKind, EventKind, TargetName, TimeSpan};
use calls::{CrashVerdict, RequestFingerprint};
use entry::{RepeatPolicy, ServeConfig};
use http::uri::PathAndQuery;
use http::{Request, Response};
use hyper::body::Incoming;
use smol_str::SmolStr;
use web::{BodyError, HandlerFuture, WebBody, WebHandler, read_body};

use super::CallAudit;
use super::call_input::{CallInput, host_of, strip_hop_headers};
use super::failure_response::failure_response;
use super::plain_call::relay_plain;
use super::stream_call::relay_stream;
use crate::GatewayCore;

/// Advice to callers of a node that can't serve them while others can.
const ELSEWHERE_RETRY: TimeSpan = TimeSpan::new(100);

/// Serves the calls of callers.
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
        let core = self.core.clone();
        Box::pin(async move {
            let _active = ActiveCall::new(core.clone());
            let mut audit = CallAudit::new(core.clone());
            let input = read_input(&core, &mut audit, request).await;
            match input {
                Ok(input) if input.route.repeat == RepeatPolicy::Stream => {
                    relay_stream(core, input, audit).await
                }
                Ok(input) => relay_plain(&core, input, audit).await,
                Err(response) => *response,
            }
        })
    }
}

/// Counts a call as long as its head is being made.
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

/// Reads a call and finds its route; the error is the answer to a call that goes no further.
async fn read_input(
    core: &Arc<GatewayCore>,
    audit: &mut CallAudit,
    request: Request<Incoming>,
) -> Result<CallInput, Box<Response<WebBody>>> {
    let (mut parts, body) = request.into_parts();
    let head = match core.ports.calls.read_call(&parts.headers) {
        Ok(head) => head,
        Err(mistake) => {
            audit.explain(mistake.to_string());
            return Err(refuse(core, audit, ErrorKind::BadRequest));
        }
    };
    audit.request = Some(head.request.clone());
    audit.size = head.generation;
    let config = core.config();
    let config = config.filter(|_| core.with_state(|state, now| state.has_initial_sync(now)));
    let Some(config) = config else {
        return Err(refuse(core, audit, ErrorKind::NotReady));
    };
    audit.version = config.version;
    let target = parts.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let host = host_of(&parts.headers);
    let Some(route) = config.route(&host, target.path()).cloned() else {
        audit.explain("no route for host and path");
        return Err(refuse(core, audit, ErrorKind::NotFound));
    };
    audit.route = Some(route.name.clone());
    let Ok(workspace) = config.authorize(&route, head.key.as_deref()) else {
        return Err(refuse(core, audit, ErrorKind::UnknownKey));
    };
    let priority = workspace.and_then(|rule| rule.priority);
    let priority = priority.unwrap_or(route.priority);
    let workspace = workspace.map(|rule| rule.name.clone());
    let service = route.pick_service(rand::random()).cloned();
    let Some(service) = service else {
        audit.explain("route without a service");
        return Err(refuse(core, audit, ErrorKind::NoTarget));
    };
    let body = read_body(body, config.limits.body_bytes, config.limits.idle_timeout).await;
    let body = body.map_err(|error| refuse_body(core, audit, &error))?;
    strip_hop_headers(&mut parts.headers);
    let wait = head
        .remaining
        .map_or(route.timeout, |wait| wait.min(route.timeout));
    let scope = format!("{}\n{}", target.path(), head.key.as_deref().unwrap_or(""));
    let print = RequestFingerprint::new(&scope, &body);
    check_crashes(core, audit, print)?;
    core.with_state(|state, now| state.retry_share.record_call(now, &service));
    let input = CallInput {
        method: parts.method,
        host,
        version: config.version,
        target,
        headers: parts.headers,
        body,
        engine: engine_of(&config, &service),
        head,
        route,
        service,
        workspace,
        priority,
        arrived: audit.arrived(),
        deadline: audit.arrived() + wait,
        print,
    };
    match core.can_finish(input.expected_time()) {
        true => Ok(input),
        false => {
            audit.explain("the call may outlast the stop");
            Err(refuse(core, audit, ErrorKind::Stopping))
        }
    }
}

fn engine_of(config: &ServeConfig, service: &base::ServiceName) -> Option<entry::EngineSpec> {
    config.service(service).and_then(|spec| spec.engine)
}

fn check_crashes(
    core: &GatewayCore,
    audit: &mut CallAudit,
    print: RequestFingerprint,
) -> Result<(), Box<Response<WebBody>>> {
    let (verdict, victims) = core.with_state(|state, now| {
        let verdict = state.facts.verdict(now, print);
        let victims = match verdict {
            CrashVerdict::Refused { .. } => state.facts.crashed_targets(now, print),
            CrashVerdict::Unrestricted | CrashVerdict::Isolated => Vec::new(),
        };
        (verdict, victims)
    });
    let CrashVerdict::Refused { retry_after } = verdict else {
        return Ok(());
    };
    log::info!(
        event = EventKind::CrashCondemned.number(),
        node = core.node().as_str(),
        request = audit.request.as_ref().map_or("", |id| id.as_str()),
        print = print.to_string().as_str(),
        targets = join_names(&victims).as_str(),
        expires_ms = retry_after.as_millis();
        "the same call crashed its targets"
    );
    let kind = ErrorKind::CrashSuspect;
    Err(Box::new(failure_response(
        core,
        audit,
        kind,
        Some(retry_after),
    )))
}

fn join_names(targets: &[TargetName]) -> String {
    let names: Vec<_> = targets.iter().map(TargetName::as_str).collect();
    names.join(",")
}

fn refuse(core: &GatewayCore, audit: &mut CallAudit, kind: ErrorKind) -> Box<Response<WebBody>> {
    let retry_after = match kind {
        ErrorKind::NotReady | ErrorKind::NoTarget | ErrorKind::Stopping => Some(ELSEWHERE_RETRY),
        _ => None,
    };
    Box::new(failure_response(core, audit, kind, retry_after))
}

fn refuse_body(
    core: &GatewayCore,
    audit: &mut CallAudit,
    error: &BodyError,
) -> Box<Response<WebBody>> {
    audit.explain(SmolStr::from(error.to_string()));
    let kind = match error {
        BodyError::TooLarge { .. } => ErrorKind::BodyTooLarge,
        BodyError::TimedOut => ErrorKind::RequestTimeout,
        BodyError::Broken { .. } | BodyError::Aborted { .. } => ErrorKind::BadRequest,
    };
    refuse(core, audit, kind)
}
