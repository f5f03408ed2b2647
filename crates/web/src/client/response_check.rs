use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

/// Status codes that a final response can have (RFC 9110, section 15). 1xx are interim, and no request
/// of this client asks to switch protocols.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Checks that a response head is one of a final response that HTTP defines.
///
/// # Errors
/// What is wrong with it. The response then says nothing, and where it ends is not known.
pub fn check_response<B>(response: &Response<B>) -> Result<(), String> {
    let status = response.status();
    if !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(format!("status {} is none of a response", status.as_u16()));
    }
    let headers = response.headers();
    let announces_body = headers.contains_key(TRANSFER_ENCODING)
        || headers
            .get(CONTENT_LENGTH)
            .is_some_and(|length| length != "0");
    if status == StatusCode::NO_CONTENT && announces_body {
        return Err("status 204 with a body".to_owned());
    }
    Ok(())
}
