use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at};
use web::{WebBody, full_body, stream_body};

use crate::AnyError;

/// Health response for the probes of nodes.
const HEALTH: &str = r#"{"incarnation":1,"leaving":false,"loaded":[{"model":"quill","version":"1","adapters":[],"ready":true}]}"#;
/// Load metrics for the probes of nodes.
const METRICS: &str = "engine_requests_running 1\nengine_requests_waiting 0\nengine_pages_used 10\nengine_pages_cached 0\nengine_pages_total 100000\nengine_page_tokens 16\nengine_preemptions_total 0\n";

/// Number of the next generation.
static NEXT_GENERATION: AtomicU64 = AtomicU64::new(0);

/// State of one token stream.
struct StreamState {
    ticks: Interval,
    generation: String,
    offset: u32,
    tokens: u32,
}

/// Serves streams with token events at fixed intervals; needs far less CPU time than the stand-in
/// engine.
pub async fn run() -> Result<(), AnyError> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    println!("{}", listener.local_addr()?);
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let service = service_fn(|request| async { Ok::<_, Infallible>(answer(request).await) });
        let http = hyper::server::conn::http1::Builder::new();
        tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
    }
}

async fn answer(request: Request<Incoming>) -> Response<WebBody> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/health") => Response::new(full_body(HEALTH)),
        (&Method::GET, "/metrics") => Response::new(full_body(METRICS)),
        (&Method::POST, path) if path.ends_with("completions") => stream_tokens(request).await,
        (&Method::POST, "/v1/orders") => Response::new(full_body("{}")),
        _ => {
            let mut response = Response::new(full_body("{}"));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

async fn stream_tokens(request: Request<Incoming>) -> Response<WebBody> {
    let body = request.into_body().collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let tokens = body["stand_in_tokens"].as_u64().unwrap_or(1) as u32;
    let gap = body["stand_in_gap_ms"].as_u64().unwrap_or(10).max(1);
    let number = NEXT_GENERATION.fetch_add(1, Ordering::Relaxed);
    let generation = format!("gen-{number:012}");
    let mut ticks = interval_at(Instant::now(), Duration::from_millis(gap));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let state = StreamState {
        ticks,
        generation: generation.clone(),
        offset: 0,
        tokens,
    };
    let mut response = Response::new(stream_body(unfold(state, next_event)));
    let headers = response.headers_mut();
    headers.insert("content-type", "text/event-stream".parse().expect("value"));
    headers.insert("x-generation-id", generation.parse().expect("value"));
    response
}

async fn next_event(
    mut state: StreamState,
) -> Option<(Result<Bytes, web::BodyError>, StreamState)> {
    let generation = &state.generation;
    let (offset, tokens) = (state.offset, state.tokens);
    if offset > tokens {
        return None;
    }
    state.ticks.tick().await;
    let text = match offset == tokens {
        false => format!(
            "id: {generation}:{offset}\ndata: {{\"id\":\"{generation}\",\"object\":\"text_completion\",\"created\":1700000000,\"model\":\"quill:1\",\"choices\":[{{\"index\":0,\"text\":\" token\",\"finish_reason\":null}}]}}\n\n"
        ),
        true => format!(
            "id: {generation}:{tokens}\nevent: end\ndata: {{\"id\":\"{generation}\",\"object\":\"text_completion\",\"created\":1700000000,\"model\":\"quill:1\",\"choices\":[{{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}}],\"usage\":{{\"prompt_tokens\":600,\"completion_tokens\":{tokens},\"total_tokens\":{}}}}}\n\ndata: [DONE]\n\n",
            600 + tokens
        ),
    };
    state.offset += 1;
    Some((Ok(text.into()), state))
}
