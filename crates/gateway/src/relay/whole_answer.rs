use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use web::{WebBody, full_body};

use super::CallAudit;
use super::failure_response::note_stop;
use crate::GatewayCore;

/// Answer of a target that was read to its end.
pub struct WholeAnswer {
    /// Status that the target gave.
    pub status: StatusCode,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Gives a target's answer to the caller as it is, and notes it in the audit.
pub fn deliver_answer(
    core: &GatewayCore,
    audit: &mut CallAudit,
    answer: WholeAnswer,
) -> Response<WebBody> {
    let outcome = match answer.status.is_success() {
        true => "answered",
        false => "target_answered_failure",
    };
    audit.finish(answer.status.as_u16(), outcome);
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    note_stop(core, response.headers_mut());
    response
}
