use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use web::{HandlerFuture, WebBody, WebHandler, full_body, json_body};

use super::{MetricsExport, StatusPage};
use crate::NodeCore;

/// HTTP handler for requests of operators; clones share one node.
#[derive(Clone)]
pub struct OpsHandler {
    core: Arc<NodeCore>,
}

impl WebHandler for OpsHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let server = self.clone();
        Box::pin(async move { server.answer(request).await })
    }
}

impl OpsHandler {
    /// Creates the handler of a node.
    pub fn new(core: Arc<NodeCore>) -> Self {
        Self { core }
    }

    async fn answer(self, request: Request<Incoming>) -> Response<WebBody> {
        if request.method() != Method::GET {
            return status_response(StatusCode::METHOD_NOT_ALLOWED);
        }
        let query = request.uri().query().unwrap_or_default();
        match request.uri().path() {
            "/ops/status" => self.answer_status().await,
            "/ops/events" => self.answer_events(query),
            "/ops/metrics" => self.answer_metrics(),
            _ => status_response(StatusCode::NOT_FOUND),
        }
    }

    async fn answer_status(&self) -> Response<WebBody> {
        match self.core.fleet.status().await {
            Some(status) => Response::new(json_body(&StatusPage::new(&self.core, status))),
            None => status_response(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Answers with the events after the hybrid time of the query parameter `since`, oldest first.
    fn answer_events(&self, query: &str) -> Response<WebBody> {
        let since = query
            .strip_prefix("since=")
            .and_then(|text| text.parse().ok());
        let events = self.core.journal.events_since(since.unwrap_or_default());
        let dropped = self.core.journal.dropped_events();
        let node = &self.core.identity.node;
        Response::new(json_body(
            &json!({ "node": node, "dropped": dropped, "events": events }),
        ))
    }

    fn answer_metrics(&self) -> Response<WebBody> {
        let node = self.core.identity.node.to_string();
        let running = self.core.gate.running() as f64;
        metrics::gauge!("agatemoor_requests_running", "node" => node).set(running);
        let mut response = Response::new(full_body(MetricsExport::shared().render()));
        let kind = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, kind);
        response
    }
}

fn status_response(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(full_body(status.canonical_reason().unwrap_or_default()));
    *response.status_mut() = status;
    response
}
