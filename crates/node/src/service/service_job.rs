use bytes::Bytes;
use calls::{CallPlan, RequestFingerprint};
use hyper::Method;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use sched::WorkItem;

/// Body of a call to a service.
pub enum ServiceBody {
    /// Read as a whole, so that an attempt may be repeated.
    Buffered(Bytes),
    /// Passed on as it arrives; `None` once it was handed to an attempt.
    Streaming(Option<Incoming>),
}

/// One call of a plain service.
pub struct ServiceJob {
    /// Rules of its attempts.
    pub plan: CallPlan,
    /// What the routing policy needs to know.
    pub item: WorkItem,
    /// Fingerprint against requests that crash their targets.
    pub print: RequestFingerprint,
    /// Method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Headers for the service.
    pub headers: HeaderMap,
    /// Body.
    pub body: ServiceBody,
}
