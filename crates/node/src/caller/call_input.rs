use std::sync::Arc;

use base::{ClockTime, ErrorKind, RequestId, TargetName, TimeSpan, TokenCount};
use bytes::Bytes;
use calls::{CallFailure, RequestHash};
use fleet::DeclaredWorkspace;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Uri};
use sched::{CallKind, WorkItem};
use tokio::sync::OwnedSemaphorePermit;

use crate::headers::{IDEMPOTENCY_KEY_HEADER, LAST_EVENT_ID_HEADER, REQUEST_TIMEOUT_HEADER};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Headers that are forwarded to another node with a call.
const FORWARDED_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static(REQUEST_TIMEOUT_HEADER),
    HeaderName::from_static(IDEMPOTENCY_KEY_HEADER),
    HeaderName::from_static(LAST_EVENT_ID_HEADER),
];

/// A caller's request after authentication, with its body if that is buffered.
#[derive(Clone, Debug)]
pub struct CallInput {
    /// Id of the request at this node.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: DeclaredWorkspace,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body; empty if it is passed on as it arrives.
    pub body: Bytes,
    /// Number of nodes that have forwarded the call.
    pub hops: u8,
    /// Whether it came from another failure domain that had no target for it.
    pub overflow: bool,
    /// Permit of a call from another failure domain, held until the answer is written.
    pub overflow_permit: Option<Arc<OwnedSemaphorePermit>>,
    /// Time at which the request arrived.
    pub arrival: ClockTime,
}

impl CallInput {
    /// Returns the `Idempotency-Key`: a ticket, or a key that the caller generated.
    ///
    /// # Errors
    /// `BadRequest` if it is not a text of 1 to 255 bytes.
    pub fn idempotency_key(&self) -> Result<Option<&str>, CallFailure> {
        let Some(value) = self.headers.get(IDEMPOTENCY_KEY_HEADER) else {
            return Ok(None);
        };
        match value.to_str() {
            Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => Ok(Some(text)),
            _ => Err(CallFailure::new(ErrorKind::BadRequest)),
        }
    }

    /// Returns the `Last-Event-ID` of a caller that resumes a stream.
    pub fn last_event(&self) -> Option<&str> {
        self.headers.get(LAST_EVENT_ID_HEADER)?.to_str().ok()
    }

    /// Returns when the caller stops waiting; `default` after its arrival if it set no time-out.
    ///
    /// # Errors
    /// `BadRequest` if the header is not a number of milliseconds above zero.
    pub fn deadline(&self, default: TimeSpan) -> Result<ClockTime, CallFailure> {
        let Some(value) = self.headers.get(REQUEST_TIMEOUT_HEADER) else {
            return Ok(self.arrival + default);
        };
        let millis = value
            .to_str()
            .ok()
            .and_then(|text| text.parse::<u64>().ok());
        match millis {
            Some(millis) if millis > 0 => Ok(self.arrival + TimeSpan::new(millis)),
            _ => Err(CallFailure::new(ErrorKind::BadRequest)),
        }
    }

    /// Returns the call as the routing policy sees it. The fields that only generations have are
    /// empty and left to the code that calls this.
    pub fn work_item(
        &self,
        kind: CallKind,
        candidates: Arc<[TargetName]>,
        deadline: Option<ClockTime>,
    ) -> WorkItem {
        WorkItem {
            request: self.request.clone(),
            workspace: self.workspace.name.clone(),
            weight: self.workspace.weight,
            queue_limit: self.workspace.queue,
            stream_limit: self.workspace.streams,
            model: None,
            kind,
            prompt_tokens: TokenCount(0),
            max_tokens: None,
            prefix: 0,
            candidates,
            excluded: Vec::new(),
            arrival: self.arrival,
            deadline,
        }
    }

    /// Hash by which a resend of a key is distinguished from another request with the same key.
    pub fn body_hash(&self) -> RequestHash {
        RequestHash::new(self.method.as_str(), &self.path, &self.body)
    }

    /// Returns the headers that are forwarded to another node.
    pub fn forwarded_headers(&self) -> HeaderMap {
        let kept = FORWARDED_HEADERS.into_iter().filter_map(|name| {
            let value = self.headers.get(&name)?.clone();
            Some((name, value))
        });
        let mut headers: HeaderMap = kept.collect();
        // Plain services get the caller's own headers; of those, only these two are forwarded.
        for name in [hyper::header::CONTENT_TYPE, hyper::header::ACCEPT] {
            if let Some(value) = self.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        headers
    }
}

/// Path and query of a URI, `/` if it has none.
pub fn path_and_query(uri: &Uri) -> String {
    uri.path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned()
}
