use base::{ErrorKind, TimeSpan};
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response};
use web::{WebBody, json_body};

use super::CallAudit;
use crate::GatewayCore;

/// Answers a call with an error of this node, and notes it in the audit.
pub fn failure_response(
    core: &GatewayCore,
    audit: &mut CallAudit,
    kind: ErrorKind,
    retry_after: Option<TimeSpan>,
) -> Response<WebBody> {
    let status = core.ports.calls.failure_status(kind);
    audit.finish(status.as_u16(), kind.into());
    let body = serde_json::json!({ "error": { "code": kind.to_string() } });
    let mut response = Response::new(json_body(&body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = retry_after {
        core.ports.calls.write_retry_after(headers, wait);
    }
    note_stop(core, headers);
    response
}

/// Asks callers to open new connections, which reach other nodes, once this node stops.
pub fn note_stop(core: &GatewayCore, headers: &mut HeaderMap) {
    if core.is_stopping() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
