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
    ConnectionPool, PooledSender, SendPhase, WebBody, WebError, empty_body, json_body, read_body,
};

use super::{
    EngineCall, EngineClient, EngineConnection, EngineError, EngineFuture, EngineHealth,
    EngineOrder, EngineProgress, EngineStream, parse_load_metrics,
};
use crate::SystemClock;
use crate::headers::{ADMITTED_HEADER, REQUEST_TIMEOUT_HEADER, read_retry_after};

/// Maximum length in bytes of a response body that is not a stream.
const RESPONSE_LIMIT: usize = 1 << 20;
/// Maximum time to wait for a response that is not a stream.
const RESPONSE_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Response header with the id of the generation, known before its first token arrives.
const GENERATION_HEADER: &str = "x-generation-id";

/// Client of engines that have the OpenAI-compatible API over HTTP.
///
/// It also uses the paths `/v1/generations/`, `/v1/requests/`, `/v1/orders`, `/health` and
/// `/metrics`.
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

    async fn open_connection(
        &self,
        address: SocketAddr,
    ) -> Result<Box<dyn EngineConnection>, EngineError> {
        let connected = self.pool.connect(address, SendPhase::Fresh).await;
        let connection = connected.map_err(into_engine_error)?;
        let engine = self.clone();
        Ok(Box::new(HttpConnection {
            engine,
            address,
            connection,
        }))
    }

    async fn resume_generation(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        offset: u64,
    ) -> Result<EngineStream, EngineError> {
        let path = format!("/v1/generations/{generation}/events?offset={offset}");
        let request = empty_request(Method::GET, address, &path);
        let sent = self
            .send(address, SendPhase::Fresh, request, RESPONSE_TIMEOUT)
            .await;
        let (response, connection) = sent?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(EngineError::UnknownGeneration);
        }
        self.open_stream(response, connection).await
    }

    async fn read_metrics(
        &self,
        target: TargetName,
        address: SocketAddr,
    ) -> Result<LoadReport, EngineError> {
        let request = empty_request(Method::GET, address, "/metrics");
        let body = self.fetch(address, SendPhase::Reuse, request).await?;
        let text = String::from_utf8_lossy(&body);
        Ok(parse_load_metrics(target, self.clock.now(), &text))
    }

    /// Turns the response to a call into its stream, or into the error that the engine reported.
    async fn open_stream(
        &self,
        response: Response<Incoming>,
        connection: PooledSender,
    ) -> Result<EngineStream, EngineError> {
        if response.status() == StatusCode::OK {
            let generation = read_generation(&response);
            let body = response.into_body();
            let pool = self.pool.clone();
            return Ok(EngineStream::new(body, generation, pool, connection));
        }
        let admitted = response.headers().get(ADMITTED_HEADER);
        if admitted.is_some_and(|value| value == "no") {
            let retry_after = read_retry_after(response.headers());
            return Err(EngineError::NotAdmitted { retry_after });
        }
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), RESPONSE_LIMIT, RESPONSE_TIMEOUT).await;
        Err(EngineError::ErrorResponse {
            status,
            body: body.unwrap_or_default(),
        })
    }

    /// Sends a request and returns the body of its response if the status is a success.
    async fn fetch(
        &self,
        address: SocketAddr,
        phase: SendPhase,
        request: Request<WebBody>,
    ) -> Result<Bytes, EngineError> {
        let sent = self.send(address, phase, request, RESPONSE_TIMEOUT).await;
        let (response, connection) = sent?;
        let status = response.status();
        let body = read_body(response.into_body(), RESPONSE_LIMIT, RESPONSE_TIMEOUT).await;
        let body = body.map_err(|error| EngineError::ConnectionLost {
            reason: error.to_string(),
        })?;
        self.pool.release(connection);
        if status.is_success() {
            return Ok(body);
        }
        let status = status.as_u16();
        Err(EngineError::ErrorResponse { status, body })
    }

    /// Sends a request and waits up to `wait` for the response head.
    async fn send(
        &self,
        address: SocketAddr,
        phase: SendPhase,
        request: Request<WebBody>,
        wait: TimeSpan,
    ) -> Result<(Response<Incoming>, PooledSender), EngineError> {
        let sent = timeout(wait.into(), self.pool.send(address, phase, request)).await;
        let Ok(result) = sent else {
            self.pool.forget(address);
            return Err(EngineError::Silent);
        };
        result.map_err(into_engine_error)
    }
}

/// New HTTP connection to an engine.
struct HttpConnection {
    engine: HttpEngine,
    address: SocketAddr,
    connection: PooledSender,
}

impl HttpConnection {
    async fn start_call(mut self, mut call: EngineCall) -> Result<EngineStream, EngineError> {
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
            request
                .headers_mut()
                .insert(REQUEST_TIMEOUT_HEADER, millis.into());
        }
        let sent = timeout(call.head_timeout.into(), self.connection.send(request)).await;
        let Ok(result) = sent else {
            return Err(EngineError::Silent);
        };
        let response = result.map_err(|(error, _)| into_engine_error(error))?;
        self.engine.open_stream(response, self.connection).await
    }
}

impl EngineConnection for HttpConnection {
    fn start(self: Box<Self>, call: EngineCall) -> EngineFuture<'static, EngineStream> {
        Box::pin(self.start_call(call))
    }
}

fn into_engine_error(error: WebError) -> EngineError {
    if error.is_refused() {
        return EngineError::Refused;
    }
    let reason = error.to_string();
    match error.is_unsent() {
        true => EngineError::Unsent { reason },
        false => EngineError::ConnectionLost { reason },
    }
}

fn read_generation(response: &Response<Incoming>) -> Option<GenerationId> {
    let value = response.headers().get(GENERATION_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

impl EngineClient for HttpEngine {
    fn connect(&self, address: SocketAddr) -> EngineFuture<'_, Box<dyn EngineConnection>> {
        Box::pin(self.open_connection(address))
    }

    fn resume(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        offset: u64,
    ) -> EngineFuture<'_, EngineStream> {
        Box::pin(self.resume_generation(address, generation, offset))
    }

    fn progress(
        &self,
        address: SocketAddr,
        generation: GenerationId,
    ) -> EngineFuture<'_, EngineProgress> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let request = empty_request(Method::GET, address, &path);
            match self.fetch(address, SendPhase::Fresh, request).await {
                Err(EngineError::ErrorResponse { status: 404, .. }) => {
                    Err(EngineError::UnknownGeneration)
                }
                Err(error) => Err(error),
                Ok(body) => parse_json(&body),
            }
        })
    }

    fn request_progress(
        &self,
        address: SocketAddr,
        request: RequestId,
    ) -> EngineFuture<'_, EngineProgress> {
        Box::pin(async move {
            let path = format!("/v1/requests/{request}");
            let asked = empty_request(Method::GET, address, &path);
            match self.fetch(address, SendPhase::Fresh, asked).await {
                // An engine that knows the path sends its incarnation, even if it does not know the
                // request. An engine without the path sends none, which proves nothing.
                Err(EngineError::ErrorResponse { status: 404, body }) => {
                    parse_json(&body).map_err(|_| EngineError::UnknownGeneration)
                }
                Err(error) => Err(error),
                Ok(body) => parse_json(&body),
            }
        })
    }

    fn cancel(&self, address: SocketAddr, generation: GenerationId) -> EngineFuture<'_, ()> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let request = empty_request(Method::DELETE, address, &path);
            match self.fetch(address, SendPhase::Reuse, request).await {
                Ok(_) | Err(EngineError::ErrorResponse { status: 404, .. }) => Ok(()),
                Err(error) => Err(error),
            }
        })
    }

    fn set_priority(
        &self,
        address: SocketAddr,
        generation: GenerationId,
        priority: RequestPriority,
    ) -> EngineFuture<'_, ()> {
        Box::pin(async move {
            let path = format!("/v1/generations/{generation}");
            let body = json!({ "priority": priority.0 });
            let request = json_request(Method::PATCH, address, &path, &body);
            self.fetch(address, SendPhase::Reuse, request)
                .await
                .map(drop)
        })
    }

    fn order(&self, address: SocketAddr, order: EngineOrder) -> EngineFuture<'_, ()> {
        Box::pin(async move {
            let body = serde_json::to_value(&order).unwrap_or_default();
            let request = json_request(Method::POST, address, "/v1/orders", &body);
            self.fetch(address, SendPhase::Reuse, request)
                .await
                .map(drop)
        })
    }

    fn health(&self, address: SocketAddr) -> EngineFuture<'_, EngineHealth> {
        Box::pin(async move {
            let request = empty_request(Method::GET, address, "/health");
            let body = self.fetch(address, SendPhase::Reuse, request).await?;
            parse_json(&body)
        })
    }

    fn health_and_load(
        &self,
        target: TargetName,
        address: SocketAddr,
    ) -> EngineFuture<'_, (EngineHealth, LoadReport)> {
        Box::pin(async move {
            let request = empty_request(Method::GET, address, "/health");
            let body = self.fetch(address, SendPhase::Reuse, request).await?;
            let response: HealthResponse = parse_json(&body)?;
            let measured_at = self.clock.now();
            let report = match response.load {
                Some(load) => load.into_report(target, measured_at),
                None => self.read_metrics(target, address).await?,
            };
            Ok((response.health, report))
        })
    }
}

/// Response to `GET /health`: the engine's state and, if the engine sends it, its load, which saves
/// a request of `/metrics`.
#[derive(Deserialize)]
struct HealthResponse {
    #[serde(flatten)]
    health: EngineHealth,
    #[serde(default)]
    load: Option<LoadFields>,
}

#[derive(Deserialize)]
struct LoadFields {
    running: u32,
    waiting: u32,
    used_pages: u32,
    cached_pages: u32,
    total_pages: u32,
    page_tokens: u32,
    preemptions: u64,
}

impl LoadFields {
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

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, EngineError> {
    serde_json::from_slice(body).map_err(|error| EngineError::Protocol {
        reason: error.to_string(),
    })
}

fn empty_request(method: Method, address: SocketAddr, path: &str) -> Request<WebBody> {
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
    // The paths consist of constants and validated ids, so parsing does not fail; the default URI
    // matches no resource of an engine.
    *request.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    request
}
