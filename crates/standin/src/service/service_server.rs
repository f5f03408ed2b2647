use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::{TargetName, TimeSpan};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use smol_str::SmolStr;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use web::{BodyError, StopSignal, WebBody, WebServer, full_body, json_body, read_body};

use crate::{RunLog, RunRecord};

const BODY_LIMIT: usize = 1 << 20;
const BODY_READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Runs kept in the log for history checks.
const HISTORY_LIMIT: usize = 100_000;
/// Longest delay of an order that a caller can request with `x-delay-ms`.
const MAX_DELAY: TimeSpan = TimeSpan::from_secs(60);

/// Server of the stand-in plain service, bound to an address but not started.
///
/// `POST /orders` places an order, `GET /stock/ITEM` looks an item up, `POST /echo` streams the
/// request body back, and `GET /control/history` lists the orders that ran.
pub struct ServiceServer {
    server: WebServer,
    name: TargetName,
}

/// Handle of a running stand-in plain service; clones refer to the same service.
#[derive(Clone)]
pub struct ServiceHandle {
    address: SocketAddr,
    log: RunLog,
    stop: StopSignal,
}

struct ServiceState {
    name: TargetName,
    log: RunLog,
}

impl ServiceServer {
    /// Listens on `address`.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn bind(address: SocketAddr, name: TargetName) -> io::Result<Self> {
        let server = WebServer::bind(address).await?;
        Ok(Self { server, name })
    }

    /// Starts to serve in a new task and returns a handle together with that task.
    pub fn start(self) -> (ServiceHandle, JoinHandle<()>) {
        let log = RunLog::new(HISTORY_LIMIT);
        let handle = ServiceHandle {
            address: self.server.address(),
            log: log.clone(),
            stop: StopSignal::new(),
        };
        let state = Arc::new(ServiceState {
            name: self.name,
            log,
        });
        let handler = move |request| -> web::HandlerFuture {
            Box::pin(handle_request(state.clone(), request))
        };
        let task = tokio::spawn(self.server.serve(Arc::new(handler), handle.stop.clone()));
        (handle, task)
    }
}

impl ServiceHandle {
    /// Returns the address on which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the runs of orders, oldest first.
    pub fn runs(&self) -> Vec<RunRecord> {
        self.log.records()
    }

    /// Signals the server to stop.
    pub fn stop(&self) {
        self.stop.stop();
    }
}

async fn handle_request(state: Arc<ServiceState>, request: Request<Incoming>) -> Response<WebBody> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/health") => Response::new(json_body(&json!({
            "incarnation": 1,
            "leaving": false,
        }))),
        (&Method::GET, "/control/history") => Response::new(json_body(&state.log.records())),
        (&Method::POST, "/orders") => place_order(&state, request).await,
        (&Method::POST, "/echo") => echo_body(request),
        (&Method::GET, path) if path.starts_with("/stock/") => {
            let item = &path["/stock/".len()..];
            Response::new(json_body(&json!({ "item": item, "stock": item.len() })))
        }
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

async fn place_order(state: &ServiceState, request: Request<Incoming>) -> Response<WebBody> {
    let (head, body) = request.into_parts();
    let Ok(body) = read_body(body, BODY_LIMIT, BODY_READ_TIMEOUT).await else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let id = header_text(&head.headers, "x-request-id");
    state.log.push(RunRecord {
        target: SmolStr::new(state.name.as_str()),
        request: id.clone(),
        mark: String::from_utf8_lossy(&body).into(),
        generation: SmolStr::default(),
        model: SmolStr::default(),
        chat: false,
        finished: false,
    });
    sleep(requested_delay(&head.headers)).await;
    state.log.finish(&id);
    Response::new(json_body(&json!({ "ordered": true, "request": id })))
}

fn echo_body(request: Request<Incoming>) -> Response<WebBody> {
    let kind = request.headers().get(CONTENT_TYPE).cloned();
    let body = request.into_body();
    let body = body.map_err(|source| BodyError::Broken { source });
    let mut response = Response::new(body.boxed_unsync());
    let kind = kind.unwrap_or(HeaderValue::from_static("application/octet-stream"));
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

fn requested_delay(headers: &HeaderMap) -> Duration {
    let millis = header_text(headers, "x-delay-ms").parse().unwrap_or(0);
    Duration::from(TimeSpan::new(millis).min(MAX_DELAY))
}

fn header_text(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    SmolStr::new(value.unwrap_or_default())
}

fn status_response(status: StatusCode) -> Response<WebBody> {
    let mut response = Response::new(full_body(status.canonical_reason().unwrap_or_default()));
    *response.status_mut() = status;
    response
}
