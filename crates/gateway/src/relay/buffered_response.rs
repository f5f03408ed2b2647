use bytes::Bytes;
use entry::BodyLease;
use http::{HeaderMap, Response, StatusCode};
use web::{WebBody, full_body};

use super::AccessEntry;
use super::failure_response::close_if_stopping;
use crate::GatewayCore;

/// Response of a target that was read to its end.
pub struct BufferedResponse {
    /// Status code of the target.
    pub status: StatusCode,
    /// Headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Body whose memory counts in the budget of bodies until its last copy is dropped.
pub struct LeasedBody {
    content: Bytes,
    _lease: BodyLease,
}

impl LeasedBody {
    /// Creates the body from its content and the lease of its memory.
    pub fn new(content: Bytes, lease: BodyLease) -> Self {
        Self {
            content,
            _lease: lease,
        }
    }

    /// Returns the body as bytes that hold the lease.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for LeasedBody {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// Passes a target's response on to the caller unchanged and records it in the access log entry.
pub fn deliver_response(
    core: &GatewayCore,
    access_entry: &mut AccessEntry,
    target_response: BufferedResponse,
) -> Response<WebBody> {
    let outcome = match target_response.status.is_success() {
        true => "answered",
        false => "target_answered_failure",
    };
    access_entry.set_outcome(target_response.status.as_u16(), outcome);
    let mut response = Response::new(full_body(target_response.body));
    *response.status_mut() = target_response.status;
    *response.headers_mut() = target_response.headers;
    close_if_stopping(core, response.headers_mut());
    response
}
