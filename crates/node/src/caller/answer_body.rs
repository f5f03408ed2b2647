use bytes::Bytes;
use calls::{CallFailure, RetainedAnswer};
use futures_util::stream::unfold;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use web::{BodyError, WebBody, full_body, stream_body};

use super::{CallRun, RunPart, error_response};
use crate::{AnswerHead, AnswerPart, SharedAnswer};

/// Response of a run whose answer has one reader.
pub async fn respond_run(mut run: CallRun) -> Result<Response<WebBody>, CallFailure> {
    let head = loop {
        match run.next_part().await {
            Some(RunPart::Head(head)) => break head,
            Some(RunPart::Failed(failure) | RunPart::Detached(failure)) => return Err(failure),
            Some(RunPart::Chunk(_) | RunPart::End) => {}
            None => return Err(CallFailure::new(base::ErrorKind::Internal)),
        }
    };
    let events = is_stream(&head);
    let parts = unfold(Some(run), move |run| async move {
        let mut run = run?;
        match run.next_part().await? {
            RunPart::Chunk(chunk) => Some((Ok(chunk), Some(run))),
            // The last event of the stream has told the error.
            RunPart::Failed(_) if events => None,
            RunPart::Failed(failure) => Some((Err(break_off(&failure)), None)),
            RunPart::Head(_) | RunPart::Detached(_) => Some((Ok(Bytes::new()), Some(run))),
            RunPart::End => None,
        }
    });
    Ok(with_head(&head, stream_body(parts)))
}

/// Response from an answer that others may read as well.
pub async fn respond_shared(answer: SharedAnswer) -> Result<Response<WebBody>, CallFailure> {
    let head = answer.wait_head().await?;
    let events = is_stream(&head);
    let parts = unfold(Some((answer, 0)), move |state| async move {
        let (answer, read) = state?;
        match answer.wait_part(read).await {
            AnswerPart::Chunk(chunk) => Some((Ok(chunk), Some((answer, read + 1)))),
            AnswerPart::Failed(_) if events => None,
            AnswerPart::Failed(failure) => Some((Err(break_off(&failure)), None)),
            AnswerPart::End => None,
        }
    });
    Ok(with_head(&head, stream_body(parts)))
}

/// Response of an answer that was given before.
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

/// Response of a failure, with its kind as message.
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

/// Breaks the connection off, so that a cut answer can't pass for a whole one.
fn break_off(failure: &CallFailure) -> BodyError {
    BodyError::Aborted {
        reason: failure.kind.to_string(),
    }
}
