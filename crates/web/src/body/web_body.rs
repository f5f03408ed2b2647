use std::time::Duration;

use base::TimeSpan;
use bytes::Bytes;
use futures_util::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use serde::Serialize;
use snafu::ResultExt;
use tokio::time::{Instant, timeout_at};

use super::BodyBuffer;
use crate::BodyError;
use crate::error::{BrokenSnafu, TimedOutSnafu, TooLargeSnafu};

/// Body of an outgoing request or response, whatever its content is made from.
pub type WebBody = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body without content.
///
/// ```
/// use hyper::body::Body;
/// assert!(web::empty_body().is_end_stream());
/// ```
pub fn empty_body() -> WebBody {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body that holds `content`.
///
/// ```
/// use hyper::body::Body;
/// assert_eq!(web::full_body("ok").size_hint().exact(), Some(2));
/// ```
pub fn full_body(content: impl Into<Bytes>) -> WebBody {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body that holds `value` as JSON; a value that can't be serialized gives an empty body.
///
/// ```
/// use hyper::body::Body;
/// assert_eq!(web::json_body(&[1, 2]).size_hint().exact(), Some(5));
/// ```
pub fn json_body(value: &impl Serialize) -> WebBody {
    full_body(serde_json::to_vec(value).unwrap_or_default())
}

/// Creates a body from a stream of chunks.
///
/// ```
/// let chunks = futures_util::stream::iter([Ok(bytes::Bytes::from_static(b"a"))]);
/// let _body = web::stream_body(chunks);
/// ```
pub fn stream_body(
    chunks: impl Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
) -> WebBody {
    use futures_util::StreamExt;
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Lowest accepted transfer rate of a body; without one a slow sender, whose single parts arrive in
/// time, could occupy a connection for days.
const MIN_BYTES_PER_SECOND: u64 = 1_024;

/// Reads a body of at most `limit` bytes; each part of it has to arrive within `timeout`.
///
/// The whole body has to arrive within `timeout` plus one second for each KiB received.
///
/// # Errors
/// `TooLarge`, `TimedOut`, or `Broken` if the connection fails.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: TimeSpan,
) -> Result<Bytes, BodyError> {
    read_body_if(body, limit, timeout, |_| true).await
}

/// Reads a body like [`read_body`], as long as `has_room` says that there is memory for a buffer of this
/// many bytes: for the whole body before the first part is read if the length is known, else whenever
/// the buffer grows.
///
/// # Errors
/// Those of [`read_body`], and `NoRoom`.
pub async fn read_body_if(
    mut body: Incoming,
    limit: usize,
    timeout: TimeSpan,
    mut has_room: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        return TooLargeSnafu { limit }.fail();
    }
    let timeout = Duration::from(timeout);
    let start = Instant::now();
    // Without a length, the buffer grows with the body.
    let expected = body.size_hint().exact().unwrap_or(0).min(limit as u64) as usize;
    let mut buffer = BodyBuffer::new(limit);
    buffer.reserve(expected, &mut has_room)?;
    loop {
        let transfer_time =
            Duration::from_millis(buffer.len() as u64 * 1_000 / MIN_BYTES_PER_SECOND);
        let deadline = (start + timeout + transfer_time).min(Instant::now() + timeout);
        let Ok(next) = timeout_at(deadline, body.frame()).await else {
            return TimedOutSnafu.fail();
        };
        let Some(frame) = next else {
            return Ok(buffer.into_bytes());
        };
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        buffer.push(&data, &mut has_room)?;
    }
}
