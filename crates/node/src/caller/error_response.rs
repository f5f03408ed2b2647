use base::{ErrorKind, RanState};
use calls::CallFailure;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use web::{WebBody, json_body};

use crate::headers::REQUEST_RAN_HEADER;

/// Error object in the format of OpenAI, with two more fields: whether the request ran and when to
/// retry.
///
/// ```
/// use base::ErrorKind;
/// let failure = calls::CallFailure::new(ErrorKind::Overloaded);
/// let object = node::error_object(&failure, "targets are full");
/// assert_eq!(object["error"]["code"], "overloaded");
/// assert_eq!(object["error"]["ran"], "no");
/// assert_eq!(object["error"]["retry_after_ms"], 1_000);
/// ```
pub fn error_object(failure: &CallFailure, message: &str) -> Value {
    let answer = failure.kind.answer();
    let retry_after = failure.retry_after.map(|span| span.as_millis());
    json!({
        "error": {
            "message": message,
            "type": answer.category,
            "param": null,
            "code": failure.kind,
            "ran": failure.ran,
            "retry_after_ms": retry_after,
        }
    })
}

/// HTTP response with the error object of a failure.
///
/// ```
/// use base::ErrorKind;
/// let failure = calls::CallFailure::new(ErrorKind::UnknownKey);
/// assert_eq!(node::error_response(&failure, "no such key").status(), 401);
/// ```
pub fn error_response(failure: &CallFailure, message: &str) -> Response<WebBody> {
    let answer = failure.kind.answer();
    let body = json_body(&error_object(failure, message));
    let mut response = Response::new(body);
    *response.status_mut() = status_of(failure.kind, answer.status);
    let headers = response.headers_mut();
    let kind = HeaderValue::from_static("application/json");
    headers.insert(hyper::header::CONTENT_TYPE, kind);
    headers.insert(
        REQUEST_RAN_HEADER,
        HeaderValue::from_static(ran_text(failure.ran)),
    );
    if let Some(span) = failure.retry_after {
        headers.insert(RETRY_AFTER, span.as_secs_ceil().into());
    }
    // Client libraries must not automatically repeat a request that may have run.
    if failure.ran != RanState::No || failure.retry_after.is_none() {
        let never = HeaderValue::from_static("false");
        headers.insert("x-should-retry", never);
    }
    response
}

fn status_of(kind: ErrorKind, status: u16) -> StatusCode {
    debug_assert!((400..600).contains(&status), "{kind} has an error status");
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn ran_text(ran: RanState) -> &'static str {
    ran.into()
}
