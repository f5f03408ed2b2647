//! The stand-in engine over HTTP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde_json::{Value, json};
use standin::{EngineHandle, EngineServer, EngineSettings, parse_weight_key};
use tokio::time::{sleep, timeout};
use web::{ConnectionPool, EventFrame, EventSplitter, PoolSettings, ReusePolicy, full_body};

/// Longest wait for a response.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start(change: impl FnOnce(EngineSettings) -> EngineSettings) -> EngineHandle {
    let settings = EngineSettings::new("e1".parse().expect("a name"));
    let weights = parse_weight_key("quill:2").expect("weights");
    let settings = change(settings.with_loaded(weights));
    let started = tokio::task::spawn_blocking(move || EngineServer::start(any_port(), settings));
    started.await.expect("no panic").expect("a port")
}

async fn open(
    engine: &EngineHandle,
    method: Method,
    path: &str,
    body: Value,
) -> Response<Incoming> {
    let pool = ConnectionPool::new(PoolSettings::new());
    let address = engine.address();
    let builder = Request::builder().method(method).uri(path);
    let builder = builder.header("host", address.to_string());
    let request = builder
        .body(full_body(body.to_string()))
        .expect("a request");
    let sent = timeout(
        ANSWER_LIMIT,
        pool.send(address, ReusePolicy::NewOnly, request),
    )
    .await;
    sent.expect("an answer in time").expect("an answer").0
}

async fn ask(engine: &EngineHandle, method: Method, path: &str, body: Value) -> (u16, Value) {
    let response = open(engine, method, path, body).await;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a body");
    (
        status,
        serde_json::from_slice(&body.to_bytes()).unwrap_or_default(),
    )
}

/// Reads a stream to its end; returns the ids of the events that have one, and whether the stream
/// contained `[DONE]`.
async fn read_events(response: Response<Incoming>) -> (Vec<String>, bool) {
    let mut splitter = EventSplitter::new(1 << 16);
    let mut body = response.into_body();
    let (mut ids, mut done) = (Vec::new(), false);
    loop {
        let next = timeout(ANSWER_LIMIT, body.frame()).await;
        let Some(Ok(frame)) = next.expect("the stream goes on or ends") else {
            return (ids, done);
        };
        splitter.push(frame.into_data().unwrap_or_default());
        while let Some(block) = splitter.next_block() {
            let frame = EventFrame::parse(&block);
            done |= frame.data == Some(b"[DONE]");
            ids.extend(frame.id.map(|id| String::from_utf8_lossy(id).into_owned()));
        }
    }
}

fn call(tokens: u32, mark: &str) -> Value {
    json!({ "model": "quill:2", "prompt": "tell", "stream": true,
        "stand_in_tokens": tokens, "stand_in_mark": mark, "request_id": mark })
}

/// Guards against a stand-in whose stream or resumed stream has wrong offsets or no end.
#[tokio::test]
async fn a_stream_can_be_resumed_at_any_offset() {
    let engine = start(|settings| settings).await;
    let path = "/v1/completions";
    let response = open(&engine, Method::POST, path, call(12, "r1")).await;
    let generation = response.headers()["x-generation-id"].clone();
    let generation = generation.to_str().expect("text").to_owned();
    let (ids, done) = read_events(response).await;
    let expected: Vec<String> = (0..=12).map(|at| format!("{generation}:{at}")).collect();
    assert!(done);
    assert_eq!(ids, expected);
    for offset in [0, 5, 11, 12] {
        let path = format!("/v1/generations/{generation}/events?offset={offset}");
        let resumed = open(&engine, Method::GET, &path, Value::Null).await;
        let (ids, done) = read_events(resumed).await;
        assert!(done);
        assert_eq!(ids, expected[offset..], "from {offset}");
    }
    let unknown = "/v1/generations/none/events?offset=0";
    assert_eq!(ask(&engine, Method::GET, unknown, Value::Null).await.0, 404);
    let runs = engine.runs();
    assert_eq!(runs.len(), 1);
    assert!(runs[0].finished && runs[0].mark == "r1");
    engine.kill();
}

/// Guards against a cancelled generation that continues, or whose stream ends like a finished one.
#[tokio::test]
async fn a_cancelled_generation_ends_without_done() {
    let engine = start(|settings| settings).await;
    let path = "/v1/completions";
    let response = open(&engine, Method::POST, path, call(20_000, "r1")).await;
    let generation = response.headers()["x-generation-id"].clone();
    let path = format!("/v1/generations/{}", generation.to_str().expect("text"));
    let (status, _) = ask(&engine, Method::DELETE, &path, Value::Null).await;
    assert_eq!(status, 200);
    let (_, done) = read_events(response).await;
    assert!(!done);
    let (_, progress) = ask(&engine, Method::GET, &path, Value::Null).await;
    assert_eq!(progress["ended"], true);
    assert!(!engine.runs()[0].finished);
    let unknown = "/v1/generations/none";
    let (status, _) = ask(&engine, Method::DELETE, unknown, Value::Null).await;
    assert_eq!(status, 404);
    engine.kill();
}

/// Guards against muted streams that still send output, and against new streams that do not work.
#[tokio::test]
async fn muted_streams_are_silent_and_new_ones_work() {
    let engine = start(|settings| settings).await;
    let path = "/v1/completions";
    let response = open(&engine, Method::POST, path, call(300, "r1")).await;
    let generation = response.headers()["x-generation-id"].clone();
    engine.mute_streams();
    let mut body = response.into_body();
    let silent = async { while body.frame().await.is_some() {} };
    let ended = timeout(Duration::from_millis(700), silent).await;
    assert!(ended.is_err(), "the connection stays open");
    let generation = generation.to_str().expect("text");
    let path = format!("/v1/generations/{generation}/events?offset=290");
    let resumed = open(&engine, Method::GET, &path, Value::Null).await;
    let (ids, done) = read_events(resumed).await;
    assert!(done);
    assert_eq!(ids[0], format!("{generation}:290"));
    engine.kill();
}

fn order(fencing: &str, action: &str, version: &str) -> Value {
    json!({ "fencing": fencing, "action": action, "model": "quill", "version": version })
}

async fn wait_loaded(engine: &EngineHandle, version: &str) -> Value {
    let start = Instant::now();
    loop {
        let (_, health) = ask(engine, Method::GET, "/health", Value::Null).await;
        let loaded = health["loaded"].as_array().cloned().unwrap_or_default();
        let found = loaded.into_iter().find(|entry| entry["version"] == version);
        if let Some(entry) = found.filter(|entry| entry["ready"] == true) {
            return entry;
        }
        assert!(
            start.elapsed() < ANSWER_LIMIT,
            "{version} is loaded: {health}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an engine with fencing that executes an order with an outdated fencing number.
#[tokio::test]
async fn fencing_refuses_older_orders_only() {
    let engine = start(EngineSettings::with_fencing).await;
    let path = "/v1/orders";
    let send = |body| ask(&engine, Method::POST, path, body);
    assert_eq!(send(order("5", "load", "3")).await.0, 200);
    assert_eq!(send(order("4", "unload", "2")).await.0, 409);
    // Repeating an order with the same fencing number is accepted and has no effect.
    assert_eq!(send(order("5", "load", "3")).await.0, 200);
    wait_loaded(&engine, "3").await;
    wait_loaded(&engine, "2").await;
    assert_eq!(send(order("6", "unload", "2")).await.0, 200);
    let (_, health) = ask(&engine, Method::GET, "/health", Value::Null).await;
    let loaded = health["loaded"].as_array().cloned().unwrap_or_default();
    assert!(
        loaded.iter().all(|entry| entry["version"] != "2"),
        "{health}"
    );
    for wrong in [json!({}), json!([]), order("7", "dance", "2")] {
        assert_eq!(send(wrong.clone()).await.0, 400, "{wrong}");
    }
    engine.kill();
}

/// Guards against an engine without fencing that refuses orders by their fencing number.
#[tokio::test]
async fn without_fencing_older_orders_are_accepted() {
    let engine = start(|settings| settings).await;
    let path = "/v1/orders";
    let newer = ask(&engine, Method::POST, path, order("5", "load", "3")).await;
    let older = ask(&engine, Method::POST, path, order("4", "load", "4")).await;
    assert_eq!((newer.0, older.0), (200, 200));
    wait_loaded(&engine, "3").await;
    wait_loaded(&engine, "4").await;
    engine.kill();
}

/// Guards against a refusal that a node could mistake for a started run, and against a started
/// run that it could mistake for a refusal.
#[tokio::test]
async fn a_leaving_engine_refuses_before_admission() {
    let engine = start(|settings| settings).await;
    engine.leave();
    let path = "/v1/completions";
    let response = open(&engine, Method::POST, path, call(3, "r1")).await;
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["x-admitted"], "no");
    assert!(response.headers().contains_key("retry-after"));
    assert!(engine.runs().is_empty());
    let (_, health) = ask(&engine, Method::GET, "/health", Value::Null).await;
    assert_eq!(health["leaving"], true);
    let leave = "/control/leave?admit";
    open(&engine, Method::PUT, leave, Value::Null).await;
    let response = open(&engine, Method::POST, path, call(3, "r2")).await;
    assert!(read_events(response).await.1);
    assert_eq!(engine.runs().len(), 1);
    engine.kill();
}

/// Guards against a crash text that does not stop the engine.
#[tokio::test]
async fn a_crash_text_stops_the_engine() {
    let engine = start(|settings| settings.with_crash_text("tell")).await;
    let pool = ConnectionPool::new(PoolSettings::new());
    let address = engine.address();
    let builder = Request::builder()
        .method(Method::POST)
        .uri("/v1/completions");
    let builder = builder.header("host", address.to_string());
    let body = Bytes::from(call(3, "r1").to_string());
    let request = builder.body(full_body(body)).expect("a request");
    let sent = timeout(
        ANSWER_LIMIT,
        pool.send(address, ReusePolicy::NewOnly, request),
    )
    .await;
    assert!(sent.expect("the connection ends").is_err());
    let stopped = timeout(ANSWER_LIMIT, engine.wait_until_stopped()).await;
    assert!(stopped.is_ok() && engine.is_stopped());
}
