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

/// Longest accepted key in bytes.
const KEY_LIMIT: usize = 255;
/// Headers that travel with a call to the node that runs it.
const KEPT_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static(REQUEST_TIMEOUT_HEADER),
    HeaderName::from_static(IDEMPOTENCY_KEY_HEADER),
    HeaderName::from_static(LAST_EVENT_ID_HEADER),
];

/// A call of a caller, authenticated and read.
#[derive(Clone, Debug)]
pub struct CallInput {
    /// Identifier of the request at this node.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: DeclaredWorkspace,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Nodes that have passed it on.
    pub hops: u8,
    /// Whether another failure domain had no target for it.
    pub overflow: bool,
    /// Place among the calls of other failure domains, held until the answer is written.
    pub place: Option<Arc<OwnedSemaphorePermit>>,
    /// When it arrived.
    pub arrival: ClockTime,
}

impl CallInput {
    /// Returns the ticket or key of the caller.
    ///
    /// # Errors
    /// `BadRequest` if it is no text of 1 to 255 bytes.
    pub fn key(&self) -> Result<Option<&str>, CallFailure> {
        let Some(value) = self.headers.get(IDEMPOTENCY_KEY_HEADER) else {
            return Ok(None);
        };
        match value.to_str() {
            Ok(text) if !text.is_empty() && text.len() <= KEY_LIMIT => Ok(Some(text)),
            _ => Err(CallFailure::new(ErrorKind::BadRequest)),
        }
    }

    /// Returns the id of the last event that the caller got.
    pub fn last_event(&self) -> Option<&str> {
        self.headers.get(LAST_EVENT_ID_HEADER)?.to_str().ok()
    }

    /// Returns when the caller stops waiting.
    ///
    /// # Errors
    /// `BadRequest` if the header is no number of milliseconds above zero.
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

    /// Returns what the routing policy needs to know of a call of `kind` that may go to
    /// `candidates`; what only generations have is added by the caller.
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

    /// Digest by which a resend is told from another request.
    pub fn body_hash(&self) -> RequestHash {
        RequestHash::new(self.method.as_str(), &self.path, &self.body)
    }

    /// Headers that travel to another node.
    pub fn kept_headers(&self) -> HeaderMap {
        let kept = KEPT_HEADERS.into_iter().filter_map(|name| {
            let value = self.headers.get(&name)?.clone();
            Some((name, value))
        });
        let mut headers: HeaderMap = kept.collect();
        // Plain services see the caller's own headers; these stand for all others.
        for name in [hyper::header::CONTENT_TYPE, hyper::header::ACCEPT] {
            if let Some(value) = self.headers.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        headers
    }
}

/// Path and query of a URI.
pub fn path_of(uri: &Uri) -> String {
    uri.path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned()
}
