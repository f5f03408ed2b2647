use base::TimeSpan;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// Time until the deadline of the request, in milliseconds.
pub const REQUEST_TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Ticket that a node issued, or idempotency key that the caller generated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Identifier of the last event that the caller received, from which a stream is resumed.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Whether the request ran: `no`, `yes` or `unknown`.
pub const REQUEST_RAN_HEADER: &str = "x-request-ran";
/// `no` if a target did not admit the request.
pub const ADMITTED_HEADER: &str = "x-admitted";

/// Reads the time of the `Retry-After` header, if it is given as a number of seconds.
pub fn read_retry_after(headers: &HeaderMap) -> Option<TimeSpan> {
    let value = headers.get(RETRY_AFTER)?;
    let secs = value.to_str().ok()?.parse().ok()?;
    Some(TimeSpan::from_secs(secs))
}
