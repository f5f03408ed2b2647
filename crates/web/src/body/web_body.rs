use std::time::Duration;

use base::TimeSpan;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use serde::Serialize;
use snafu::ResultExt;
use tokio::time::{Instant, timeout_at};

use crate::BodyError;
use crate::fault::{BrokenSnafu, TimedOutSnafu, TooLargeSnafu};

/// Body of any request or response.
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

/// Creates a body that holds `value` as JSON; a value that JSON can't hold gives an empty body.
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

/// Least pace of a body in bytes a second; a slower one could hold a connection for days.
const LEAST_PACE: u64 = 1_024;

/// Reads a body of at most `limit` bytes; each part has to arrive within `wait`.
///
/// The whole body may take `wait` and a second for each KiB longer.
///
/// # Errors
/// `TooLarge`, `TimedOut`, or `Broken` if the connection fails.
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    wait: TimeSpan,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        return TooLargeSnafu { limit }.fail();
    }
    let wait = Duration::from(wait);
    let start = Instant::now();
    let mut content = BytesMut::new();
    loop {
        let paced = Duration::from_millis(content.len() as u64 * 1_000 / LEAST_PACE);
        let due = (start + wait + paced).min(Instant::now() + wait);
        let Ok(next) = timeout_at(due, body.frame()).await else {
            return TimedOutSnafu.fail();
        };
        let Some(frame) = next else {
            return Ok(content.freeze());
        };
        let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
            continue;
        };
        if content.len() + data.len() > limit {
            return TooLargeSnafu { limit }.fail();
        }
        content.extend_from_slice(&data);
    }
}
