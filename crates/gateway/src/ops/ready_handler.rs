use std::sync::Arc;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use node::MetricsExport;
use web::{HandlerFuture, WebHandler, empty_body, full_body};

use crate::GatewayCore;

/// Answers the health checks of the load balancer: 200 while the node takes callers, otherwise 503.
pub struct ReadyHandler {
    core: Arc<GatewayCore>,
}

impl ReadyHandler {
    pub fn new(core: Arc<GatewayCore>) -> Self {
        Self { core }
    }
}

impl WebHandler for ReadyHandler {
    fn handle(&self, _request: Request<Incoming>) -> HandlerFuture {
        let mut response = Response::new(empty_body());
        if !self.core.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        Box::pin(async move { response })
    }
}

/// Serves the metrics of the process in the Prometheus text format.
pub struct MetricsHandler;

impl WebHandler for MetricsHandler {
    fn handle(&self, _request: Request<Incoming>) -> HandlerFuture {
        let text = MetricsExport::shared().render();
        let mut response = Response::new(full_body(text));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        Box::pin(async move { response })
    }
}
