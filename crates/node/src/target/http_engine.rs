use std::net::SocketAddr;

use base::{ClockTime, GenerationId, RequestId, TargetName, TimeSpan};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use sched::{LoadReport, RequestPriority};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::time::timeout;
use web::{
    ConnectionPool, PooledConnection, RequestError, ReusePolicy, WebBody, empty_body, json_body,
    read_body,
};

use super::{
    CallFuture, EngineCall, EngineClient, EngineFault, EngineHealth, EngineLink, EngineOrder,
    EngineProgress, EngineStream, parse_load,
};
use crate::SystemClock;
use crate::wire::{ADMITTED_HEADER, DEADLINE_HEADER, read_retry_after};

/// Longest body of an answer that is not a stream.
const ANSWER_LIMIT: usize = 1 << 20;
/// Longest wait for an answer that is not a stream.
const ANSWER_WAIT: TimeSpan = TimeSpan::from_secs(2);
/// Header in which an engine names the generation before its first token.
const GENERATION_HEADER: &str = "x-generation-id";

/// Client of engines with the OpenAI-compatible API and the customary extensions.
#[derive(Clone)]
pub struct HttpEngine {
    pool: ConnectionPool,
    clock: SystemClock,
}

impl HttpEngine {
    /// Creates a client that takes its connections from `pool`.
    ///
    /// ```
    /// let pool = web::ConnectionPool::new(web::PoolSettings::new());
    /// let _engine = node::HttpEngine::new(pool, node::SystemClock::new());
    /// ```
    pub fn new(pool: ConnectionPool, clock: SystemClock) -> Self {
        Self { pool, clock }
    }

    async fn open_link(&self, address: SocketAddr) -> Result<Box<dyn EngineLink>, EngineFault> {
        let connected = self.pool.connect(address, ReusePolicy::NewOnly).await;
        let connection = connected.map_err(into_fault)?;
        let engine = self.clone();
        Ok(Box::new(HttpLink {
            engine,
            address,
            connection,
        }))
    }

    async fn resume_call(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        offset: u64,
    ) -> Result<EngineStream, EngineFault> {
        let path = format!("/v1/generations/{generation}/events?offset={offset}");
        let request = plain_request(Method::GET, address, &path);
        let sent = self
            .send(address, ReusePolicy::NewOnly, request, ANSWER_WAIT)
            .await;
        let (response, connection) = sent?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(EngineFault::UnknownGeneration);
        }
        self.open_stream(response, connection).await
    }

    async fn read_metrics(
        &self,
        target: TargetName,
        address: SocketAddr,
    ) -> Result<LoadReport, EngineFault> {
        let request = plain_request(Method::GET, address, "/metrics");
        let body = self.ask(address, ReusePolicy::AllowReuse, request).await?;
        let text = String::from_utf8_lossy(&body);
        Ok(parse_load(target, self.clock.now(), &text))
    }

    async fn open_stream(
        &self,
        response: Response<Incoming>,
        connection: PooledConnection,
    ) -> Result<EngineStream, EngineFault> {
        if response.status() == StatusCode::OK {
            let generation = read_generation(&response);
            let body = response.into_body();
            let pool = self.pool.clone();
            return Ok(EngineStream::new(body, generation, pool, connection));
        }
        let refused = response.headers().get(ADMITTED_HEADER);
        if refused.is_some_and(|value| value == "no") {
            let retry_after = read_retry_after(response.headers());
            return Err(EngineFault::NotAdmitted { retry_after });
        }
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), ANSWER_LIMIT, ANSWER_WAIT).await;
        Err(EngineFault::Failed {
            status,
            body: body.unwrap_or_default(),
        })
    }

    async fn ask(
        &self,
        address: SocketAddr,
        policy: ReusePolicy,
        request: Request<WebBody>,
    ) -> Result<Bytes, EngineFault> {
        let sent = self.send(address, policy, request, ANSWER_WAIT).await;
        let (response, connection) = sent?;
        let status = response.status();
        let body = read_body(response.into_body(), ANSWER_LIMIT, ANSWER_WAIT).await;
        let body = body.map_err(|error| EngineFault::Lost {
            reason: error.to_string(),
        })?;
        self.pool.release(connection);
        if status.is_success() {
            return Ok(body);
        }
        let status = status.as_u16();
        Err(EngineFault::Failed { status, body })
    }

    async fn send(
        &self,
        address: SocketAddr,
        policy: ReusePolicy,
        request: Request<WebBody>,
        wait: TimeSpan,
    ) -> Result<(Response<Incoming>, PooledConnection), EngineFault> {
        let sent = timeout(wait.into(), self.pool.send(address, policy, request)).await;
        let Ok(answered) = sent else {
            self.pool.close_idle(address);
            return Err(EngineFault::Silent);
        };
        answered.map_err(into_fault)
    }
}

/// A fresh connection to an engine over HTTP.
struct HttpLink {
    engine: HttpEngine,
    address: SocketAddr,
    connection: PooledConnection,
}

impl HttpLink {
    async fn start_call(mut self, mut call: EngineCall) -> Result<EngineStream, EngineFault> {
        call.body.insert("stream".to_owned(), Value::Bool(true));
        call.body
            .insert("priority".to_owned(), json!(call.priority.0));
        call.body
            .insert("request_id".to_owned(), json!(call.request));
        let path = format!("/v1/{}", call.path);
        let body = Value::Object(call.body);
        let mut request = json_request(Method::POST, self.address, &path, &body);
        if let Some(left) = call.time_left {
            let millis = left.as_millis();
            request.headers_mut().insert(DEADLINE_HEADER, millis.into());
        }
        let sent = timeout(call.wait.into(), self.connection.send(request)).await;
        let Ok(answered) = sent else {
            return Err(EngineFault::Silent);
        };
        let response = answered.map_err(|(error, _)| into_fault(error))?;
        self.engine.open_stream(response, self.connection).await
    }
}

impl EngineLink for HttpLink {
    fn start(self: Box<Self>, call: EngineCall) -> CallFuture<'static, EngineStream> {
        Box::pin(self.start_call(call))
    }
}

fn into_fault(error: RequestError) -> EngineFault {
    if error.is_refused() {
        return EngineFault::Refused;
    }
    let reason = error.to_string();
    match error.is_unsent() {
        true => EngineFault::Unsent { reason },
        false => EngineFault::Lost { reason },
    }
}

fn read_generation(response: &Response<Incoming>) -> Option<GenerationId> {
    let value = response.headers().get(GENERATION_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

impl EngineClient for HttpEngine {
    fn connect(&self, address: SocketAddr) -> CallFuture<'_, Box<dyn EngineLink>> {
        Box::pin(self.open_link(address))
    }

    fn resume(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        offset: u64,
    ) -> CallFuture<'_, EngineStream> {
        Box::pin(self.resume_call(address, generation, offset))
    }

    fn progress(
        &self,
        address: SocketAddr,
        generation: GenerationId,
    ) -> CallFuture<'_, EngineProgress> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let request = plain_request(Method::GET, address, &path);
            match self.ask(address, ReusePolicy::NewOnly, request).await {
                Err(EngineFault::Failed { status: 404, .. }) => Err(EngineFault::UnknownGeneration),
                Err(fault) => Err(fault),
                Ok(body) => parse_answer(&body),
            }
        })
    }

    fn request_progress(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> CallFuture<'_, EngineProgress> {
        Box::pin(async move {
            let path = format!("/v1/requests/{request}");
            let asked = plain_request(Method::GET, address, &path);
            match self.ask(address, ReusePolicy::NewOnly, asked).await {
                // An engine without this path names no incarnation and proves nothing.
                Err(EngineFault::Failed { status: 404, body }) => {
                    parse_answer(&body).map_err(|_| EngineFault::UnknownGeneration)
                }
                Err(fault) => Err(fault),
                Ok(body) => parse_answer(&body),
            }
        })
    }

    fn cancel(&self, address: SocketAddr, generation: GenerationId) -> CallFuture<'_, ()> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let request = plain_request(Method::DELETE, address, &path);
            match self.ask(address, ReusePolicy::AllowReuse, request).await {
                Ok(_) | Err(EngineFault::Failed { status: 404, .. }) => Ok(()),
                Err(fault) => Err(fault),
            }
        })
    }

    fn set_priority(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        priority: RequestPriority,
    ) -> CallFuture<'_, ()> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let body = json!({ "priority": priority.0 });
            let request = json_request(Method::PATCH, address, &path, &body);
            self.ask(address, ReusePolicy::AllowReuse, request)
                .await
                .map(drop)
        })
    }

    fn order(&self, address: SocketAddr, order: EngineOrder) -> CallFuture<'_, ()> {
        Box::pin(async move {
            let body = serde_json::to_value(&order).unwrap_or_default();
            let request = json_request(Method::POST, address, "/v1/orders", &body);
            self.ask(address, ReusePolicy::AllowReuse, request)
                .await
                .map(drop)
        })
    }

    fn health(&self, address: SocketAddr) -> CallFuture<'_, EngineHealth> {
        Box::pin(async move {
            let request = plain_request(Method::GET, address, "/health");
            let body = self.ask(address, ReusePolicy::AllowReuse, request).await?;
            parse_answer(&body)
        })
    }

    fn state(
        &self,
        target: TargetName,
        address: SocketAddr,
    ) -> CallFuture<'_, (EngineHealth, LoadReport)> {
        Box::pin(async move {
            let request = plain_request(Method::GET, address, "/health");
            let body = self.ask(address, ReusePolicy::AllowReuse, request).await?;
            let page: HealthPage = parse_answer(&body)?;
            let measured_at = self.clock.now();
            let report = match page.load {
                Some(load) => load.into_report(target, measured_at),
                None => self.read_metrics(target, address).await?,
            };
            Ok((page.health, report))
        })
    }
}

/// State of an engine that may carry its load, which saves the metrics page.
#[derive(Deserialize)]
struct HealthPage {
    #[serde(flatten)]
    health: EngineHealth,
    #[serde(default)]
    load: Option<LoadPage>,
}

#[derive(Deserialize)]
struct LoadPage {
    running: u32,
    waiting: u32,
    used_pages: u32,
    cached_pages: u32,
    total_pages: u32,
    page_tokens: u32,
    preemptions: u64,
}

impl LoadPage {
    fn into_report(self, target: TargetName, measured_at: ClockTime) -> LoadReport {
        LoadReport {
            target,
            measured_at,
            running: self.running,
            waiting: self.waiting,
            used_pages: self.used_pages,
            cached_pages: self.cached_pages,
            total_pages: self.total_pages,
            page_tokens: self.page_tokens,
            preemptions: self.preemptions,
        }
    }
}

fn parse_answer<T: DeserializeOwned>(body: &[u8]) -> Result<T, EngineFault> {
    serde_json::from_slice(body).map_err(|error| EngineFault::Protocol {
        reason: error.to_string(),
    })
}

fn plain_request(method: Method, address: SocketAddr, path: &str) -> Request<WebBody> {
    build_request(method, address, path, empty_body())
}

fn json_request(method: Method, address: SocketAddr, path: &str, body: &Value) -> Request<WebBody> {
    let mut request = build_request(method, address, path, json_body(body));
    let kind = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, kind);
    request
}

fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: WebBody,
) -> Request<WebBody> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    // Paths are made here from checked names, and the fallback names no resource.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}
