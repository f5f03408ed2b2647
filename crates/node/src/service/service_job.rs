use bytes::Bytes;
use calls::{CallPlan, RequestFingerprint};
use hyper::Method;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use sched::WorkItem;

/// Request body of a service call.
pub enum ServiceBody {
    /// Read completely, so that an attempt can be repeated.
    Buffered(Bytes),
    /// Passed on as it arrives; `None` once an attempt has taken it.
    Streaming(Option<Incoming>),
}

/// Everything needed to relay one call to a plain service.
pub struct ServiceJob {
    /// Properties and limits of the attempts.
    pub plan: CallPlan,
    /// The call as the routing policy sees it.
    pub item: WorkItem,
    /// Fingerprint that recognises requests that crash their targets.
    pub fingerprint: RequestFingerprint,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request to the service.
    pub path: String,
    /// Headers of the request to the service.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: ServiceBody,
}
