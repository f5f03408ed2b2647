use base::{ErrorKind, TimeSpan};
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Response};
use web::{WebBody, json_body};

use super::AccessEntry;
use crate::GatewayCore;
use crate::forward::mark_refusal;
use crate::state::OTHER_NODE_RETRY;

/// Builds an error response of this node and records it in the access log entry.
pub fn failure_response(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    kind: ErrorKind,
    retry_after: Option<TimeSpan>,
) -> Response<WebBody> {
    let status = core.ports.headers.error_status(kind);
    access_entry.set_outcome(status.as_u16(), kind.into());
    let body = serde_json::json!({ "error": { "code": kind.to_string() } });
    let mut response = Response::new(json_body(&body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = retry_after {
        core.ports.headers.write_retry_after(headers, wait);
    }
    close_if_stopping(core, headers);
    if access_entry.is_forwarded {
        mark_refusal(headers, kind);
    }
    response
}

/// Builds the error response of a call that is in progress when this node stops; a call that was not
/// sent to a target can be sent to another node.
pub fn cut_off_response(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    was_sent: bool,
) -> Response<WebBody> {
    access_entry.add_reason("in progress when this node stopped");
    match was_sent {
        true => failure_response(core, access_entry, ErrorKind::Interrupted, None),
        false => {
            let retry = Some(OTHER_NODE_RETRY);
            failure_response(core, access_entry, ErrorKind::Stopping, retry)
        }
    }
}

/// Adds `Connection: close` while this node is stopping, so that callers open new connections, which
/// reach other nodes.
pub fn close_if_stopping(core: &GatewayCore, headers: &mut HeaderMap) {
    if core.is_stopping() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
