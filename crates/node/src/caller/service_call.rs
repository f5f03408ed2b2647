use base::{ErrorKind, ServiceName};
use calls::{AnswerMode, CallFailure, CallPlan, RequestFingerprint};
use fleet::FleetDeclaration;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use sched::CallKind;

use super::{CallInput, RequestError};
use crate::{NodeCore, NodeView, ServiceBody, ServiceJob};

/// Headers that are not passed on to services: those of a single connection, and the caller's
/// credentials.
const STRIPPED_HEADERS: [HeaderName; 9] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Splits `/svc/NAME/rest` into the name of the service and the path that the service gets.
pub fn split_service(path: &str) -> Option<(ServiceName, String)> {
    let rest = path.strip_prefix("/svc/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let service = rest[..end].parse().ok()?;
    let path = match &rest[end..] {
        tail if tail.starts_with('/') => tail.to_owned(),
        tail => format!("/{tail}"),
    };
    Some((service, path))
}

/// Creates the job of a service call.
pub fn make_service_job(
    core: &NodeCore,
    view: &NodeView,
    fleet: &FleetDeclaration,
    input: &CallInput,
    body: ServiceBody,
) -> Result<ServiceJob, RequestError> {
    let Some((service, path)) = split_service(&input.path) else {
        return Err(CallFailure::new(ErrorKind::NotFound).into());
    };
    let Some(declared) = fleet.service(&service) else {
        let message = format!("service `{service}` is not declared");
        return Err(RequestError::new(ErrorKind::NotFound, message));
    };
    let route = core
        .routes
        .service_candidates(view, fleet, &input.workspace, &service);
    if !route.declared {
        let message = format!("no route allows service `{service}` to this workspace");
        return Err(RequestError::new(ErrorKind::NotFound, message));
    }
    let buffered = matches!(body, ServiceBody::Buffered(_));
    let mut plan = CallPlan::new(input.request.clone());
    plan.repeatable = buffered && declared.is_repeatable(input.method.as_str());
    plan.resumable = false;
    plan.uninterruptible = declared.uncancellable;
    plan.mode = AnswerMode::Buffered;
    let deadline = input.deadline(core.limits.default_deadline)?;
    // An uncancellable call continues after the deadline; only its caller stops waiting.
    plan.deadline = (!declared.uncancellable).then_some(deadline);
    plan.seed = rand::random();
    if !buffered {
        // A streaming body can be sent by one attempt only.
        plan.policy.attempt_limit = 1;
    }
    let item = input.work_item(CallKind::Service, route.candidates.clone(), plan.deadline);
    let scope = format!("{service} {} {path}", input.method);
    Ok(ServiceJob {
        fingerprint: RequestFingerprint::new(&scope, &input.body),
        plan,
        item,
        method: input.method.clone(),
        path,
        headers: service_headers(&input.headers),
        body,
    })
}

fn service_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in STRIPPED_HEADERS {
        passed.remove(name);
    }
    passed
}
