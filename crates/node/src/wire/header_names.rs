use base::TimeSpan;
use hyper::header::{HeaderMap, RETRY_AFTER};

/// Time that the caller still waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-request-timeout-ms";
/// A ticket, or a key that the caller generated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Id of the last event that the caller got.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// Whether the request ran: `no`, `yes` or `unknown`.
pub const RAN_HEADER: &str = "x-request-ran";
/// `no` if a target did not admit the request.
pub const ADMITTED_HEADER: &str = "x-admitted";

/// Reads when to come back, if the header holds a number of seconds.
pub fn read_retry_after(headers: &HeaderMap) -> Option<TimeSpan> {
    let value = headers.get(RETRY_AFTER)?;
    let secs = value.to_str().ok()?.parse().ok()?;
    Some(TimeSpan::from_secs(secs))
}
