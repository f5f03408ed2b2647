//! Reads, blocking queries, transactions and faults of the stand-in platform over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use serde_json::{Value, json};
use standin::{ListedVm, PlatformFault, PlatformHandle, PlatformServer};
use tokio::time::{sleep, timeout};
use web::{ConnectionPool, PoolSettings, ReusePolicy, full_body};

/// Longest wait for a response.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);
/// Time during which a blocking query must not return.
const SILENCE: Duration = Duration::from_millis(200);
const KEYS: &str = "/v1/kv/agatemoor/?recurse";

async fn start() -> PlatformHandle {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = PlatformServer::bind(any).await.expect("a port");
    server.start().0
}

/// Sends a request; returns the status, index and body of the response.
async fn ask(address: SocketAddr, method: Method, path: &str, body: String) -> (u16, u64, Value) {
    let pool = ConnectionPool::new(PoolSettings::new());
    let builder = Request::builder().method(method).uri(path);
    let builder = builder.header("host", address.to_string());
    let request = builder.body(full_body(body)).expect("a request");
    let sent = timeout(
        ANSWER_LIMIT,
        pool.send(address, ReusePolicy::NewOnly, request),
    )
    .await;
    let (response, _connection) = sent.expect("an answer in time").expect("an answer");
    let status = response.status().as_u16();
    let index = response.headers().get("x-consul-index");
    let index = index.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.into_body().collect().await.expect("a body");
    let body = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    (status, index.unwrap_or(0), body)
}

async fn read(platform: &PlatformHandle, path: &str) -> (u16, u64, Value) {
    ask(platform.address(), Method::GET, path, String::new()).await
}

fn put(platform: &PlatformHandle, key: &'static str, value: &'static str) {
    platform.put_keys([(key.into(), value.into())]);
}

/// Guards against a blocking query that misses a change or returns before one.
#[tokio::test]
async fn a_blocking_query_returns_with_the_change() {
    let platform = start().await;
    assert_eq!(read(&platform, KEYS).await.0, 404);
    put(&platform, "agatemoor/a", "one");
    let (status, index, body) = read(&platform, KEYS).await;
    assert_eq!(status, 200);
    assert_eq!(body[0]["Value"], STANDARD.encode("one"));
    let path = format!("{KEYS}&index={index}&wait=15s");
    let address = platform.address();
    let watch = tokio::spawn(async move { ask(address, Method::GET, &path, String::new()).await });
    sleep(SILENCE).await;
    assert!(!watch.is_finished());
    put(&platform, "agatemoor/b", "two");
    let (_, later, body) = watch.await.expect("no panic");
    assert!(later > index);
    assert_eq!(body.as_array().map(Vec::len), Some(2));
    // A query with an older index than the current one returns at once.
    let path = format!("{KEYS}&index={index}&wait=600s");
    assert_eq!(read(&platform, &path).await.1, later);
    platform.stop();
}

/// Guards against a blocking query that does not return after its wait time if nothing changes.
#[tokio::test]
async fn a_blocking_query_returns_after_its_wait_time() {
    let platform = start().await;
    put(&platform, "agatemoor/a", "one");
    let (_, index, _) = read(&platform, KEYS).await;
    let path = format!("{KEYS}&index={index}&wait=100ms");
    let (status, same, _) = read(&platform, &path).await;
    assert_eq!((status, same), (200, index));
    platform.stop();
}

/// Guards against a transaction that is applied partially or with several indexes.
#[tokio::test]
async fn a_transaction_is_atomic() {
    let platform = start().await;
    let entry = |key: &str, value: &str| json!({ "KV": { "Key": key, "Value": value } });
    let good = json!([
        entry("agatemoor/a", &STANDARD.encode("one")),
        entry("agatemoor/b", &STANDARD.encode("two")),
    ]);
    let bad = json!([
        entry("agatemoor/c", &STANDARD.encode("x")),
        entry("agatemoor/d", "?")
    ]);
    let address = platform.address();
    let sent = ask(address, Method::PUT, "/v1/txn", good.to_string()).await;
    assert_eq!(sent.0, 200);
    let refused = ask(address, Method::PUT, "/v1/txn", bad.to_string()).await;
    assert_eq!(refused.0, 400);
    let (_, index, body) = read(&platform, KEYS).await;
    let keys = body.as_array().cloned().unwrap_or_default();
    assert_eq!(keys.len(), 2);
    assert!(keys.iter().all(|key| key["ModifyIndex"] == index));
    platform.stop();
}

/// Guards against faults that have no effect or do not end.
#[tokio::test]
async fn faults_begin_and_end() {
    let platform = start().await;
    put(&platform, "agatemoor/a", "one");
    let (_, index, _) = read(&platform, KEYS).await;
    platform.set_fault(PlatformFault::Stale);
    put(&platform, "agatemoor/a", "two");
    let (_, stale, body) = read(&platform, KEYS).await;
    assert_eq!(stale, index);
    assert_eq!(body[0]["Value"], STANDARD.encode("one"));
    // The end of the fault wakes a blocking query that waits on the stale state.
    let path = format!("{KEYS}&index={index}&wait=15s");
    let address = platform.address();
    let watch = tokio::spawn(async move { ask(address, Method::GET, &path, String::new()).await });
    sleep(SILENCE).await;
    assert!(!watch.is_finished());
    platform.set_fault(PlatformFault::None);
    let (_, later, body) = watch.await.expect("no panic");
    assert!(later > index);
    assert_eq!(body[0]["Value"], STANDARD.encode("two"));
    // A platform that goes down ends its blocking queries too.
    let path = format!("{KEYS}&index={later}&wait=600s");
    let watch = tokio::spawn(async move { ask(address, Method::GET, &path, String::new()).await });
    sleep(SILENCE).await;
    platform.set_fault(PlatformFault::Down);
    assert_eq!(watch.await.expect("no panic").0, 500);
    assert_eq!(read(&platform, KEYS).await.0, 500);
    platform.set_fault(PlatformFault::None);
    assert_eq!(read(&platform, KEYS).await.0, 200);
    platform.stop();
}

/// Guards against a list of VMs that still contains a removed one or omits a leaving one.
#[tokio::test]
async fn the_list_of_vms_reflects_changes() {
    let platform = start().await;
    let vm = |name: &str, leaving: bool| ListedVm {
        service: "agatemoor-node".into(),
        name: name.into(),
        domain: "patan".into(),
        address: "127.0.0.1:81".into(),
        leaving,
    };
    let path = "/v1/health/service/agatemoor-node";
    platform.put_vm(vm("n1", false));
    platform.put_vm(vm("n2", true));
    let (_, index, body) = read(&platform, path).await;
    assert_eq!(body[0]["Service"]["Meta"]["state"], "live");
    assert_eq!(body[1]["Service"]["Meta"]["state"], "leaving");
    assert_eq!(body[0]["Service"]["Port"], 81);
    platform.remove_vm("n1");
    let path = format!("{path}?index={index}&wait=15s");
    let (_, _, body) = read(&platform, &path).await;
    assert_eq!(body.as_array().map(Vec::len), Some(1));
    platform.stop();
}
