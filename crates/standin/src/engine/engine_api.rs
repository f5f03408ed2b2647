use std::sync::Arc;

use base::{ByteRate, GenerationId, RequestId, TimeSpan, TokenCount};
use bytes::{Bytes, BytesMut};
use engine::{EnginePriority, GenerationEnd, RefusalReason};
use futures_util::stream::unfold;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;
use tokio::sync::watch;
use web::{BodyError, WebBody, full_body, json_body, read_body, stream_body};

use super::call_body::{CallBody, parse_weight_key};
use super::engine_state::EngineState;
use super::token_text::token_text;

const BODY_LIMIT: usize = 8 << 20;
const BODY_READ_TIMEOUT: TimeSpan = TimeSpan::from_secs(10);
/// Path prefix for the progress of a request, looked up by its identifier.
const REQUESTS_PATH: &str = "/v1/requests/";

/// Format of the streamed chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkFormat {
    Completion,
    Chat,
}

/// Handles one HTTP request to the stand-in engine.
pub async fn handle_request(
    state: Arc<EngineState>,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let events = path.ends_with("/events");
    let generation = path
        .strip_prefix("/v1/generations/")
        .and_then(|rest| rest.strip_suffix("/events").unwrap_or(rest).parse().ok());
    match (request.method(), path.as_str(), generation) {
        (&Method::POST, "/v1/completions", _) => {
            start_call(state, request, ChunkFormat::Completion).await
        }
        (&Method::POST, "/v1/chat/completions", _) => {
            start_call(state, request, ChunkFormat::Chat).await
        }
        (&Method::GET, "/health", _) => health_response(&state),
        (&Method::GET, "/metrics", _) => metrics_response(&state),
        (&Method::GET, "/control/history", _) => Response::new(json_body(&state.log.records())),
        (&Method::PUT, "/control/leave", _) => {
            state.set_controls(|controls| {
                controls.leaving = true;
                controls.admit_while_leaving = query == "admit";
            });
            Response::new(full_body("ok"))
        }
        (&Method::PUT, "/control/mute", _) => {
            state.mute_streams();
            Response::new(full_body("ok"))
        }
        (&Method::POST, "/v1/orders", _) => handle_order(&state, request).await,
        (&Method::GET, path, None) if path.starts_with(REQUESTS_PATH) => {
            request_progress_response(&state, &path[REQUESTS_PATH.len()..])
        }
        (&Method::GET, _, Some(generation)) if events => resume_call(state, generation, &query),
        (&Method::GET, _, Some(generation)) => generation_progress_response(&state, &generation),
        (&Method::DELETE, _, Some(generation)) => cancel_call(&state, &generation),
        (&Method::PATCH, _, Some(generation)) => {
            change_priority(&state, &generation, request).await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn start_call(
    state: Arc<EngineState>,
    request: Request<Incoming>,
    format: ChunkFormat,
) -> Response<WebBody> {
    let Ok(body) = read_body(request.into_body(), BODY_LIMIT, BODY_READ_TIMEOUT).await else {
        return error_response(StatusCode::BAD_REQUEST, "body can't be read");
    };
    let Ok(call) = serde_json::from_slice::<CallBody>(&body) else {
        return error_response(StatusCode::BAD_REQUEST, "body is not a call");
    };
    let prompt = call.prompt_text();
    let crash = state.settings.crash_text.as_ref();
    if crash.is_some_and(|text| prompt.contains(text.as_str())) {
        state.crash();
        return std::future::pending().await;
    }
    let controls = state.controls();
    if controls.leaving && !controls.admit_while_leaving {
        return refusal_response("engine is leaving");
    }
    let id = call.request_id.clone().unwrap_or_else(new_request_id);
    let request = call.to_engine_request(id.clone(), &prompt);
    let submitted = state.with_simulator(|simulator, now| simulator.submit(now, request));
    match submitted {
        Ok(generation) => {
            state.record_run(&id, &generation, &call, format == ChunkFormat::Chat);
            stream_generation(state, generation, 0, format, &call.model)
        }
        Err(RefusalReason::PromptTooLong) => {
            error_response(StatusCode::BAD_REQUEST, "prompt is too long")
        }
        Err(reason) => refusal_response(&reason.to_string()),
    }
}

fn new_request_id() -> RequestId {
    let text = format!("unnamed-{:016x}", rand::random::<u64>());
    // Letters, digits and a hyphen are always a valid name.
    text.parse().expect("valid request id")
}

fn resume_call(
    state: Arc<EngineState>,
    generation: GenerationId,
    query: &str,
) -> Response<WebBody> {
    let offset = query.strip_prefix("offset=");
    let offset = offset.and_then(|text| text.parse().ok()).unwrap_or(0);
    let known = state.read_generation(&generation);
    let run = state.log.find_generation(generation.as_str());
    let (Some(_), Some(run)) = (known, run) else {
        return error_response(StatusCode::NOT_FOUND, "no such generation");
    };
    let format = match run.chat {
        true => ChunkFormat::Chat,
        false => ChunkFormat::Completion,
    };
    stream_generation(state, generation, offset, format, &run.model)
}

fn generation_progress_response(
    state: &EngineState,
    generation: &GenerationId,
) -> Response<WebBody> {
    match state.read_generation(generation) {
        Some(snapshot) => Response::new(json_body(&json!({
            "incarnation": state.incarnation.0,
            "produced": snapshot.produced.0,
            "ended": snapshot.end.is_some(),
        }))),
        None => error_response(StatusCode::NOT_FOUND, "no such generation"),
    }
}

/// Contains the incarnation even if the request is unknown, so that a node can distinguish an engine
/// that has restarted from a request that has not arrived yet.
fn request_progress_response(state: &EngineState, request: &str) -> Response<WebBody> {
    let generation = state.find_request(request);
    let snapshot = generation.and_then(|generation| state.read_generation(&generation));
    let Some(snapshot) = snapshot else {
        let body = json!({
            "error": { "message": "no such request", "type": "engine_error" },
            "incarnation": state.incarnation.0,
        });
        let mut response = Response::new(json_body(&body));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    Response::new(json_body(&json!({
        "incarnation": state.incarnation.0,
        "generation": snapshot.generation,
        "produced": snapshot.produced.0,
        "ended": snapshot.end.is_some(),
    })))
}

fn cancel_call(state: &EngineState, generation: &GenerationId) -> Response<WebBody> {
    let cancelled =
        state.with_simulator(|simulator, now| simulator.cancel_generation(now, generation));
    state.wake_streams();
    match cancelled {
        Some(count) => Response::new(json_body(&json!({ "cancelled_at": count.0 }))),
        None => error_response(StatusCode::NOT_FOUND, "no such generation"),
    }
}

async fn change_priority(
    state: &EngineState,
    generation: &GenerationId,
    request: Request<Incoming>,
) -> Response<WebBody> {
    let body = read_body(request.into_body(), BODY_LIMIT, BODY_READ_TIMEOUT).await;
    let value: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let Some(priority) = value["priority"]
        .as_u64()
        .and_then(|level| u8::try_from(level).ok())
    else {
        return error_response(StatusCode::BAD_REQUEST, "priority is missing");
    };
    let Some(snapshot) = state.read_generation(generation) else {
        return error_response(StatusCode::NOT_FOUND, "no such generation");
    };
    let priority = EnginePriority(priority);
    state.with_simulator(|simulator, now| simulator.set_priority(now, &snapshot.request, priority));
    Response::new(json_body(&json!({ "ok": true })))
}

/// Position of one response stream in its generation.
struct StreamState {
    engine: Arc<EngineState>,
    changed: watch::Receiver<u64>,
    number: u64,
    generation: GenerationId,
    offset: u32,
    format: ChunkFormat,
    model: SmolStr,
    done: bool,
}

fn stream_generation(
    engine: Arc<EngineState>,
    generation: GenerationId,
    offset: u32,
    format: ChunkFormat,
    model: &str,
) -> Response<WebBody> {
    let header = HeaderValue::from_str(generation.as_str());
    let state = StreamState {
        changed: engine.subscribe(),
        number: engine.open_stream(),
        engine,
        generation,
        offset,
        format,
        model: SmolStr::new(model),
        done: false,
    };
    let chunks = unfold(state, |mut state| async move {
        let chunk = state.next_chunk().await?;
        Some((chunk, state))
    });
    let mut response = Response::new(stream_body(chunks));
    let kind = HeaderValue::from_static("text/event-stream");
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, kind);
    if let Ok(header) = header {
        headers.insert("x-generation-id", header);
    }
    response
}

impl StreamState {
    /// Waits for new tokens and returns them as server-sent events; `None` after the end.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            if self.done {
                return None;
            }
            self.changed.mark_unchanged();
            if self.engine.controls().muted_up_to >= self.number {
                return std::future::pending().await;
            }
            let Some(snapshot) = self.engine.read_generation(&self.generation) else {
                return self.abort("generation is no longer retained");
            };
            let mut chunk = BytesMut::new();
            for offset in snapshot.offsets_from(self.offset) {
                self.write_token(&mut chunk, offset);
                self.offset = offset + 1;
            }
            match snapshot.end {
                Some(GenerationEnd::Finished) => {
                    self.write_end(&mut chunk, snapshot.produced);
                    self.done = true;
                }
                Some(_) if chunk.is_empty() => {
                    return self.abort("generation failed or was cancelled");
                }
                _ => {}
            }
            if !chunk.is_empty() {
                return Some(Ok(chunk.freeze()));
            }
            if self.changed.changed().await.is_err() {
                return self.abort("engine stopped");
            }
        }
    }

    fn abort(&mut self, reason: &str) -> Option<Result<Bytes, BodyError>> {
        self.done = true;
        let reason = reason.to_owned();
        Some(Err(BodyError::Aborted { reason }))
    }

    fn write_token(&self, chunk: &mut BytesMut, offset: u32) {
        let generation = self.generation.as_str();
        let text = token_text(generation, offset);
        let choice = match self.format {
            ChunkFormat::Completion => json!({ "index": 0, "text": text, "finish_reason": null }),
            ChunkFormat::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
        };
        let data = self.wrap_choice(choice, None);
        chunk.extend_from_slice(format!("id: {generation}:{offset}\ndata: {data}\n\n").as_bytes());
    }

    fn write_end(&self, chunk: &mut BytesMut, count: TokenCount) {
        let generation = self.generation.as_str();
        let choice = match self.format {
            ChunkFormat::Completion => json!({ "index": 0, "text": "", "finish_reason": "stop" }),
            ChunkFormat::Chat => json!({ "index": 0, "delta": {}, "finish_reason": "stop" }),
        };
        let usage =
            json!({ "completion_tokens": count.0, "prompt_tokens": 0, "total_tokens": count.0 });
        let data = self.wrap_choice(choice, Some(usage));
        let text = format!(
            "id: {generation}:{}\nevent: end\ndata: {data}\n\ndata: [DONE]\n\n",
            count.0
        );
        chunk.extend_from_slice(text.as_bytes());
    }

    fn wrap_choice(&self, choice: Value, usage: Option<Value>) -> Value {
        let object = match self.format {
            ChunkFormat::Completion => "text_completion",
            ChunkFormat::Chat => "chat.completion.chunk",
        };
        let mut data = json!({
            "id": self.generation.as_str(),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            data["usage"] = usage;
        }
        data
    }
}

fn health_response(state: &EngineState) -> Response<WebBody> {
    let controls = state.controls();
    let mut loaded: Vec<Value> = Vec::new();
    for status in state.weight_statuses() {
        let key = status.key;
        let same = |entry: &&mut Value| {
            entry["model"] == key.model.as_str() && entry["version"] == key.version.as_str()
        };
        match (&key.adapter, loaded.iter_mut().find(same)) {
            (Some(adapter), Some(entry)) if status.ready => {
                if let Some(list) = entry["adapters"].as_array_mut() {
                    list.push(json!(adapter));
                }
            }
            (Some(_), _) => {}
            (None, _) => loaded.push(json!({
                "model": key.model,
                "version": key.version,
                "adapters": [],
                "ready": status.ready,
                "failure": status.failure,
                "load_rate": status.rate,
            })),
        }
    }
    let stats = state.with_simulator(|simulator, _| simulator.load_stats());
    Response::new(json_body(&json!({
        "load": {
            "running": stats.running,
            "waiting": stats.waiting,
            "used_pages": stats.used_pages,
            "cached_pages": stats.cached_pages,
            "total_pages": stats.total_pages,
            "page_tokens": stats.page_tokens,
            "preemptions": stats.preemptions,
        },
        "incarnation": state.incarnation.0,
        "leaving": controls.leaving,
        "role": controls.role,
        "loaded": loaded,
        "fencing": (!controls.fencing.is_empty()).then_some(controls.fencing),
    })))
}

fn metrics_response(state: &EngineState) -> Response<WebBody> {
    let stats = state.with_simulator(|simulator, _| simulator.load_stats());
    let lines = [
        ("engine_requests_running", "gauge", u64::from(stats.running)),
        ("engine_requests_waiting", "gauge", u64::from(stats.waiting)),
        ("engine_pages_used", "gauge", u64::from(stats.used_pages)),
        (
            "engine_pages_cached",
            "gauge",
            u64::from(stats.cached_pages),
        ),
        ("engine_pages_total", "gauge", u64::from(stats.total_pages)),
        ("engine_page_tokens", "gauge", u64::from(stats.page_tokens)),
        ("engine_preemptions_total", "counter", stats.preemptions),
        (
            "engine_recomputed_tokens_total",
            "counter",
            stats.recomputed_tokens,
        ),
    ];
    let text: String = lines
        .iter()
        .map(|(name, kind, value)| format!("# TYPE {name} {kind}\n{name} {value}\n"))
        .collect();
    let mut response = Response::new(full_body(text));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Body of an order to load or unload weights or to set the role.
#[derive(Deserialize)]
struct OrderBody {
    fencing: String,
    action: SmolStr,
    #[serde(default)]
    model: Option<SmolStr>,
    #[serde(default)]
    version: Option<SmolStr>,
    #[serde(default)]
    adapter: Option<SmolStr>,
    #[serde(default)]
    role: Option<SmolStr>,
    #[serde(default)]
    rate: Option<u64>,
}

async fn handle_order(state: &EngineState, request: Request<Incoming>) -> Response<WebBody> {
    let body = read_body(request.into_body(), BODY_LIMIT, BODY_READ_TIMEOUT).await;
    let Ok(order) = serde_json::from_slice::<OrderBody>(&body.unwrap_or_default()) else {
        return error_response(StatusCode::BAD_REQUEST, "body is not an order");
    };
    if state.settings.fencing && order.fencing < state.controls().fencing {
        return error_response(StatusCode::CONFLICT, "fencing number is old");
    }
    let fencing = order.fencing.clone();
    state.set_controls(|controls| controls.fencing = fencing.max(controls.fencing.clone()));
    if order.action == "set_role" {
        state.set_controls(|controls| controls.role = order.role);
        return Response::new(json_body(&json!({ "ok": true })));
    }
    let (Some(model), Some(version)) = (&order.model, &order.version) else {
        return error_response(StatusCode::BAD_REQUEST, "model and version are missing");
    };
    let adapter = order.adapter.as_ref();
    let name = match adapter {
        Some(adapter) => format!("{model}:{version}+{adapter}"),
        None => format!("{model}:{version}"),
    };
    let Some(key) = parse_weight_key(&name) else {
        return error_response(StatusCode::BAD_REQUEST, "names are not valid");
    };
    match order.action.as_str() {
        "load" | "load_adapter" => state.load_weights(key, order.rate.map(ByteRate)),
        "unload" | "unload_adapter" => state.unload_weights(&key),
        _ => return error_response(StatusCode::BAD_REQUEST, "no such action"),
    }
    Response::new(json_body(&json!({ "ok": true })))
}

fn refusal_response(reason: &str) -> Response<WebBody> {
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let headers = response.headers_mut();
    headers.insert("x-admitted", HeaderValue::from_static("no"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn error_response(status: StatusCode, message: &str) -> Response<WebBody> {
    let body = json!({ "error": { "message": message, "type": "engine_error" } });
    let mut response = Response::new(json_body(&body));
    *response.status_mut() = status;
    response
}
