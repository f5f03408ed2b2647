//! Answers of a node to invalid, slow or oversized input, which must not affect other calls.

use std::net::SocketAddr;
use std::time::Duration;

use agatemoor::{CallResponse, DemoCaller, DemoFleet, make_policy};
use bytes::Bytes;
use hyper::Method;
use node::{NodeHandle, NodeServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Mark of requests that must not reach a target.
const BAD_MARK: &str = "bad";
/// Longest wait for an answer; long enough for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Path of plain completions.
const COMPLETIONS: &str = "/v1/completions";

/// Sends bytes on a new connection and returns everything that is read until the connection closes.
async fn send_raw(node: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    // The node may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = timeout(ANSWER_TIMEOUT, stream.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the node answers and closes");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns the bytes of a completions request with extra header lines.
fn raw_call(key: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}"
    );
    text.into_bytes()
}

/// Returns the body of a valid request with one field set to a JSON value.
fn body_with(field: &str, value: &str) -> String {
    let mut body = serde_json::json!({
        "model": "quill",
        "prompt": "a bad request",
        "stand_in_mark": BAD_MARK,
        "stand_in_tokens": 2,
    });
    body[field] = serde_json::from_str(value).expect("a JSON value");
    body.to_string()
}

/// Asserts that an answer has this status and error code and says that the request did not run.
fn assert_refused(what: &str, answer: &CallResponse, status: u16, code: &str) {
    assert_eq!(answer.status, status, "{what}: {answer:?}");
    assert_eq!(answer.error_code(), code, "{what}: {answer:?}");
    assert_eq!(answer.run_state(), "no", "{what}: {answer:?}");
    let ran = answer.headers.get("x-request-ran");
    assert!(ran.is_some_and(|value| value == "no"), "{what}: {answer:?}");
}

/// Replaces a node by one with low limits on sizes and on the read time.
async fn restart_with_low_limits(fleet: &mut DemoFleet, index: usize) -> NodeHandle {
    let old = fleet.nodes[index].handle.take().expect("the node runs");
    old.stop().await;
    let node = &fleet.nodes[index];
    let (callers, operators, peers) = (node.callers, node.operators, node.peers);
    let (name, domain, platform) = (&node.name, &node.domain, fleet.platform.address());
    let text = format!(
        "[node]\nname = {name}\ndomain = {domain}\n\
         [callers]\nlisten = {callers}\nbody_limit = 8192\nheader_limit = 8192\n\
         read_timeout_ms = 700\n\
         [operators]\nlisten = {operators}\n\
         [peers]\nlisten = {peers}\nkey = peer secret of the demo fleet\n\
         [platform]\naddress = {platform}\nprefix = agatemoor/\n"
    );
    let settings = schema::read_settings("low-limits.ini", &text).expect("valid settings");
    let server = NodeServer::bind(settings).await.expect("free addresses");
    let handle = server.start(Box::new(make_policy)).expect("a node");
    fleet.wait_ready().await.expect("the other nodes serve");
    let caller = DemoCaller::new(fleet.key());
    let start = Instant::now();
    while caller
        .generate(callers, "quill", "warm-up", 2, false, &[])
        .await
        .status
        != 200
    {
        assert!(
            start.elapsed() < ANSWER_TIMEOUT,
            "the node with low limits serves"
        );
        sleep(Duration::from_millis(20)).await;
    }
    handle
}

/// Guards against invalid input that reaches a target, gets the wrong error or affects other calls.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_and_reaches_no_target() {
    let fleet = DemoFleet::start().await.expect("a fleet");
    let caller = DemoCaller::new(fleet.key());
    let node = fleet.nodes[0].callers;
    let unrelated = caller.generate(node, "quill", "unrelated", 150, true, &[]);
    let (unrelated, ()) = tokio::join!(unrelated, send_invalid_input(&fleet, &caller, node));
    assert!(unrelated.is_complete(150), "{unrelated:?}");
    assert_eq!(fleet.count_runs(BAD_MARK), 0);
    let after = caller.generate(node, "quill", "after", 5, false, &[]).await;
    assert!(after.is_complete(5), "{after:?}");
    fleet.stop().await;
}

async fn send_invalid_input(fleet: &DemoFleet, caller: &DemoCaller, node: SocketAddr) {
    let post = |path: &'static str, headers: Vec<(&'static str, String)>, body: Vec<u8>| {
        let caller = caller.clone();
        async move {
            let headers: Vec<(&str, &str)> = headers
                .iter()
                .map(|(name, value)| (*name, value.as_str()))
                .collect();
            let call = caller.call(node, Method::POST, path, &headers, body.into());
            timeout(ANSWER_TIMEOUT, call).await.expect("an answer")
        }
    };
    let bodies: [&[u8]; 6] = [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\"text\"",
        b"{\"model\": \"q\xff\"}",
    ];
    for body in bodies {
        let answer = post(COMPLETIONS, Vec::new(), body.to_vec()).await;
        assert_refused(&String::from_utf8_lossy(body), &answer, 400, "bad_request");
    }
    let fields = [
        ("model", "7"),
        ("model", "null"),
        ("model", "\"\""),
        ("model", "\"not a name!\""),
        ("prompt", "7"),
        ("prompt", "null"),
        ("prompt", "[]"),
        ("stream", "\"yes\""),
        ("max_tokens", "\"many\""),
        ("max_tokens", "0"),
        ("max_tokens", "-1"),
        ("max_tokens", "1.5"),
    ];
    for (field, value) in fields {
        let body = body_with(field, value).into_bytes();
        let answer = post(COMPLETIONS, Vec::new(), body).await;
        assert_refused(&format!("{field} {value}"), &answer, 400, "bad_request");
    }
    for value in ["null", "[]", "\"text\""] {
        let body = body_with("messages", value).into_bytes();
        let answer = post("/v1/chat/completions", Vec::new(), body).await;
        assert_refused(&format!("messages {value}"), &answer, 400, "bad_request");
    }
    let good = body_with("stream", "false");
    let headers = [
        ("idempotency-key", String::new(), "bad_request"),
        ("idempotency-key", "k".repeat(256), "bad_request"),
        ("last-event-id", "nothing".to_owned(), "bad_request"),
        ("last-event-id", "e~g~00.7".to_owned(), "bad_request"),
        ("x-request-timeout-ms", "soon".to_owned(), "bad_request"),
        ("x-request-timeout-ms", "0".to_owned(), "bad_request"),
        ("x-request-timeout-ms", "-5".to_owned(), "bad_request"),
        ("x-request-timeout-ms", "1.5".to_owned(), "bad_request"),
        ("x-request-timeout-ms", "9".repeat(30), "bad_request"),
    ];
    for (name, value, code) in headers {
        let what = format!("{name}: {value}");
        let body = good.clone().into_bytes();
        let answer = post(COMPLETIONS, vec![(name, value)], body).await;
        assert_refused(&what, &answer, 400, code);
    }
    let body = body_with("model", "\"unknown\"").into_bytes();
    let answer = post(COMPLETIONS, Vec::new(), body).await;
    assert_refused("unknown model", &answer, 404, "not_found");
    let ticket = caller.ticket(node).await.expect("a ticket");
    // The MAC is the last part of a ticket.
    let mac_start = ticket.rfind('.').expect("a ticket has parts") + 1;
    let other = if ticket[mac_start..].starts_with('A') {
        "B"
    } else {
        "A"
    };
    let forged = format!(
        "{}{other}{}",
        &ticket[..mac_start],
        &ticket[mac_start + 1..]
    );
    let body = good.clone().into_bytes();
    let answer = post(COMPLETIONS, vec![("idempotency-key", forged)], body).await;
    assert_eq!(answer.status, 400, "forged ticket: {answer:?}");
    assert_eq!(answer.error_code(), "bad_ticket");

    let paths = [
        (Method::GET, "/", 404, "not_found"),
        (Method::GET, "/v1/nothing", 404, "not_found"),
        (Method::POST, "/v2/completions", 404, "not_found"),
        (Method::POST, "/svc/", 404, "not_found"),
        (Method::POST, "/svc/none/orders", 404, "not_found"),
        (Method::GET, COMPLETIONS, 405, "method_not_allowed"),
        (
            Method::PUT,
            "/v1/chat/completions",
            405,
            "method_not_allowed",
        ),
        (Method::DELETE, "/v1/models", 405, "method_not_allowed"),
        (Method::GET, "/v1/tickets", 405, "method_not_allowed"),
    ];
    for (method, path, status, code) in paths {
        let what = format!("{method} {path}");
        let answer = caller.call(node, method, path, &[], good.clone().into());
        assert_refused(&what, &answer.await, status, code);
    }
    let unknown_caller = DemoCaller::new("a key of no workspace");
    for path in [COMPLETIONS, "/svc/orders/orders", "/v1/tickets", "/v1/x"] {
        let answer = unknown_caller.call(node, Method::POST, path, &[], good.clone().into());
        assert_refused(path, &answer.await, 401, "unknown_key");
    }
    send_invalid_bytes(fleet.key(), node, &good).await;
}

async fn send_invalid_bytes(key: &str, node: SocketAddr, good: &str) {
    let malformed: [&[u8]; 5] = [
        b"GARBAGE\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nhost node\r\n\r\n",
        b"POST /v1/completions HTTP/1.1\r\nhost: node\r\ncontent-length: many\r\n\r\n",
        b"POST /v1/comp letions HTTP/1.1\r\nhost: node\r\n\r\n",
    ];
    for bytes in malformed {
        let answer = send_raw(node, bytes).await;
        let text = String::from_utf8_lossy(bytes);
        assert!(answer.starts_with("HTTP/1.1 400"), "{text}: {answer}");
    }
    let without_key = raw_call(key, "", good);
    let without_key = String::from_utf8_lossy(&without_key);
    let without_key = without_key.replace(&format!("authorization: Bearer {key}\r\n"), "");
    let basic_scheme = raw_call(key, "", good);
    let basic_scheme = String::from_utf8_lossy(&basic_scheme).replace("Bearer", "Basic");
    for text in [without_key, basic_scheme] {
        let answer = send_raw(node, text.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        assert!(answer.contains("unknown_key"), "{answer}");
    }
    let mut binary = raw_call(key, "idempotency-key: k", good);
    let at = binary
        .windows(5)
        .position(|part| part == b"key: ")
        .expect("the header");
    binary.splice(at + 5..at + 6, [0xff, 0xfe, b'\r', b'\n']);
    let answer = send_raw(node, &binary).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("bad_request"), "{answer}");
    let chunks = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\
         transfer-encoding: chunked\r\n\r\nZZ\r\nnot a chunk\r\n"
    );
    let answer = send_raw(node, chunks.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("bad_request"), "{answer}");
}

/// Guards against an overflow in the computation of a deadline, which would fail the call or the node.
#[tokio::test(flavor = "multi_thread")]
async fn the_longest_deadline_is_served() {
    let fleet = DemoFleet::start().await.expect("a fleet");
    let caller = DemoCaller::new(fleet.key());
    let longest = u64::MAX.to_string();
    let headers = [("x-request-timeout-ms", longest.as_str())];
    for streamed in [true, false] {
        let node = fleet.nodes[0].callers;
        let call = caller.generate(node, "quill", "longest", 5, streamed, &headers);
        let answer = timeout(ANSWER_TIMEOUT, call).await.expect("an answer");
        assert!(answer.is_complete(5), "{answer:?}");
    }
    fleet.stop().await;
}

/// Guards against input that fills memory or keeps a connection open indefinitely.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_and_incomplete_input_is_refused() {
    let mut fleet = DemoFleet::start().await.expect("a fleet");
    let handle = restart_with_low_limits(&mut fleet, 0).await;
    let caller = DemoCaller::new(fleet.key());
    let node = fleet.nodes[0].callers;
    let unrelated = caller.generate(node, "quill", "unrelated", 150, true, &[]);
    let (unrelated, ()) = tokio::join!(unrelated, send_oversized_input(&fleet, &caller, node));
    assert!(unrelated.is_complete(150), "{unrelated:?}");
    assert_eq!(fleet.count_runs(BAD_MARK), 0);
    handle.kill();
    fleet.stop().await;
}

async fn send_oversized_input(fleet: &DemoFleet, caller: &DemoCaller, node: SocketAddr) {
    let key = fleet.key();
    let prompt = format!("\"{}\"", "x".repeat(9_000));
    let large: Bytes = body_with("prompt", &prompt).into();
    let answer = caller.call(node, Method::POST, COMPLETIONS, &[], large.clone());
    assert_refused("large body", &answer.await, 413, "body_too_large");
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {key}\r\n\
         transfer-encoding: chunked\r\nconnection: close\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        large.len(),
        String::from_utf8_lossy(&large)
    );
    let answer = send_raw(node, chunked.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("body_too_large"), "{answer}");

    let good = body_with("stream", "false");
    let long_header = format!("x-filler: {}\r\n", "h".repeat(12_000));
    let answer = send_raw(node, &raw_call(key, &long_header, &good)).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(answer.contains("headers_too_large"), "{answer}");
    let many_headers: String = (0..400)
        .map(|at| format!("x-filler-{at}: {at}\r\n"))
        .collect();
    let answer = send_raw(node, &raw_call(key, &many_headers, &good)).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");

    // A body that ends before its announced length.
    let call = raw_call(key, "", &good);
    let answer = send_raw(node, &call[..call.len() - 10]).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("request_timeout"), "{answer}");
    // An incomplete head may get no answer, but its connection must be closed.
    let answer = send_raw(node, b"POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 408"),
        "{answer}"
    );
}

/// Guards against a body sent byte by byte that keeps a connection open far beyond the read timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_sent_byte_by_byte_is_cut_off() {
    let mut fleet = DemoFleet::start().await.expect("a fleet");
    let handle = restart_with_low_limits(&mut fleet, 0).await;
    let node = fleet.nodes[0].callers;
    let call = raw_call(fleet.key(), "", &body_with("stream", "false"));
    let mut stream = TcpStream::connect(node).await.expect("a connection");
    let (head, rest) = call.split_at(call.len() - 100);
    stream.write_all(head).await.expect("the head is sent");
    let start = Instant::now();
    let mut answer = [0; 12];
    let mut sent = 0;
    // Each byte arrives well within the time allowed for one read.
    while sent < 60 {
        let byte = &rest[sent..=sent];
        let failed = stream.write_all(byte).await.is_err();
        sent += 1;
        let read = timeout(Duration::from_millis(100), stream.read_exact(&mut answer)).await;
        if failed || read.is_ok() {
            break;
        }
    }
    assert!(sent < 60, "still open after {:?}", start.elapsed());
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert_eq!(fleet.count_runs(BAD_MARK), 0);
    handle.kill();
    fleet.stop().await;
}

/// Guards against a caller that stops reading its answer and slows other callers down.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_reader_slows_no_other_caller() {
    let fleet = DemoFleet::start().await.expect("a fleet");
    let caller = DemoCaller::new(fleet.key());
    let node = fleet.nodes[0].callers;
    let body = serde_json::json!({
        "model": "quill",
        "prompt": "a reader that never reads",
        "stream": true,
        "stand_in_tokens": 400,
        "stand_in_mark": "unread",
    });
    let call = raw_call(fleet.key(), "", &body.to_string());
    let mut readers = Vec::new();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(node).await.expect("a connection");
        stream.write_all(&call).await.expect("the call is sent");
        readers.push(stream);
    }
    for round in 0..3 {
        let answer = caller.generate(node, "quill", "reading", 30, round != 1, &[]);
        let answer = timeout(ANSWER_TIMEOUT, answer).await.expect("an answer");
        assert!(answer.is_complete(30), "{answer:?}");
    }
    // The answers that were not read yet are still complete.
    let mut first = readers.swap_remove(0);
    let mut text = Vec::new();
    let read = timeout(ANSWER_TIMEOUT, first.read_to_end(&mut text)).await;
    assert!(read.is_ok(), "the stream ends");
    assert!(String::from_utf8_lossy(&text).contains("[DONE]"));
    fleet.stop().await;
}

/// Guards against one idempotency key that is accepted for two different requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_refused() {
    let fleet = DemoFleet::start().await.expect("a fleet");
    let caller = DemoCaller::new(fleet.key());
    let path = "/svc/orders/orders";
    let ticket = caller
        .ticket(fleet.nodes[0].callers)
        .await
        .expect("a ticket");
    let headers = [("idempotency-key", ticket.as_str())];
    let send = |node: usize, body: &'static str| {
        let address = fleet.nodes[node].callers;
        caller.call(address, Method::POST, path, &headers, body.into())
    };
    let first = send(0, "one order").await;
    assert_eq!(first.status, 200, "{first:?}");
    for node in 0..4 {
        let other = send(node, BAD_MARK).await;
        assert_eq!(other.status, 422, "{other:?}");
        assert_eq!(other.error_code(), "key_reused");
        let same = send(node, "one order").await;
        assert_eq!(same.body, first.body);
    }
    assert_eq!(fleet.count_runs(BAD_MARK), 0);
    assert_eq!(fleet.count_runs("one order"), 1);
    fleet.stop().await;
}

/// Guards against an answer that is sent only long after its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_is_answered_at_once() {
    let fleet = DemoFleet::start().await.expect("a fleet");
    let caller = DemoCaller::new(fleet.key());
    let node = fleet.nodes[0].callers;
    let headers = [("x-request-timeout-ms", "300"), ("x-delay-ms", "60000")];
    let start = Instant::now();
    let whole = caller.generate(node, "quill", "late", 20_000, false, &headers);
    let order = caller.call(
        node,
        Method::POST,
        "/svc/orders/orders",
        &headers,
        "late".into(),
    );
    let both = async { tokio::join!(whole, order) };
    let (whole, order) = timeout(ANSWER_TIMEOUT, both).await.expect("answers");
    for answer in [&whole, &order] {
        assert_eq!(answer.status, 504, "{answer:?}");
        assert_eq!(answer.error_code(), "deadline_exceeded");
        assert_ne!(answer.run_state(), "no", "{answer:?}");
    }
    // The whole answer and the order would take a minute and more.
    assert!(start.elapsed() >= Duration::from_millis(300));
    let streamed = caller.generate(node, "quill", "late stream", 20_000, true, &headers);
    let streamed = timeout(ANSWER_TIMEOUT, streamed).await.expect("an answer");
    let text = String::from_utf8_lossy(&streamed.body).into_owned();
    assert!(!streamed.complete, "{streamed:?}");
    assert!(text.contains("deadline_exceeded"), "{text}");
    fleet.stop().await;
}
