use bytes::Bytes;
use calls::{CallFailure, RetainedAnswer};
use futures_util::stream::unfold;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use web::{BodyError, WebBody, full_body, stream_body};

use super::{ActiveCall, ResponsePart, error_response};
use crate::{AnswerHead, AnswerPart, SharedAnswer};

/// Responds with the output of a call that only this caller reads.
pub async fn respond_active(mut call: ActiveCall) -> Result<Response<WebBody>, CallFailure> {
    let head = loop {
        match call.next_part().await {
            Some(ResponsePart::Head(head)) => break head,
            Some(ResponsePart::Failed(failure) | ResponsePart::Detached(failure)) => {
                return Err(failure);
            }
            Some(ResponsePart::Chunk(_) | ResponsePart::End) => {}
            None => return Err(CallFailure::new(base::ErrorKind::Internal)),
        }
    };
    let events = is_stream(&head);
    let parts = unfold(Some(call), move |call| async move {
        let mut call = call?;
        match call.next_part().await? {
            ResponsePart::Chunk(chunk) => Some((Ok(chunk), Some(call))),
            // The last event of the stream contains the error.
            ResponsePart::Failed(_) if events => None,
            ResponsePart::Failed(failure) => Some((Err(abort_body(&failure)), None)),
            ResponsePart::Head(_) | ResponsePart::Detached(_) => {
                Some((Ok(Bytes::new()), Some(call)))
            }
            ResponsePart::End => None,
        }
    });
    Ok(with_head(&head, stream_body(parts)))
}

/// Responds with an answer that other callers may read as well.
pub async fn respond_shared(answer: SharedAnswer) -> Result<Response<WebBody>, CallFailure> {
    let head = answer.wait_head().await?;
    let events = is_stream(&head);
    let parts = unfold(Some((answer, 0)), move |state| async move {
        let (answer, read) = state?;
        match answer.wait_part(read).await {
            AnswerPart::Chunk(chunk) => Some((Ok(chunk), Some((answer, read + 1)))),
            AnswerPart::Failed(_) if events => None,
            AnswerPart::Failed(failure) => Some((Err(abort_body(&failure)), None)),
            AnswerPart::End => None,
        }
    });
    Ok(with_head(&head, stream_body(parts)))
}

/// Responds with the retained answer of an earlier call with the same key.
pub fn respond_retained(answer: &RetainedAnswer) -> Response<WebBody> {
    let head = AnswerHead {
        status: answer.status,
        content_type: answer.content_type.clone(),
    };
    let mut response = with_head(&head, full_body(answer.body.to_vec()));
    let replayed = HeaderValue::from_static("true");
    response
        .headers_mut()
        .insert("x-idempotent-replay", replayed);
    response
}

/// Responds with an error whose message is its kind.
pub fn respond_failure(failure: &CallFailure) -> Response<WebBody> {
    error_response(failure, failure.kind.into())
}

fn with_head(head: &AnswerHead, body: WebBody) -> Response<WebBody> {
    let mut response = Response::new(body);
    let status = StatusCode::from_u16(head.status);
    *response.status_mut() = status.unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&head.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

fn is_stream(head: &AnswerHead) -> bool {
    head.content_type == "text/event-stream"
}

/// Error that aborts the connection, so that the caller does not take an incomplete answer for a
/// complete one.
fn abort_body(failure: &CallFailure) -> BodyError {
    BodyError::Aborted {
        reason: failure.kind.to_string(),
    }
}
