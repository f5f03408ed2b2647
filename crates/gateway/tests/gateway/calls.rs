//! Plain calls, as callers and targets see them: relaying, retries, time-outs and refusals.

use std::sync::atomic::Ordering;

use base::ByteCount;
use gateway::GatewaySettings;

use crate::support::{
    FakeStore, FakeTarget, Gateway, TargetMode, call, open_stream, start_setup, until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// Number of calls that arrived at the targets.
fn arrivals(targets: &[FakeTarget]) -> usize {
    targets.iter().map(|target| target.calls().len()).sum()
}

// Guards against changing the method, path, body or headers of a call, and against passing the
// caller's key on to the target.
#[tokio::test]
async fn relays_calls_unchanged() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    let headers = "x-id: a1\r\nx-other: yes\r\nx-key: key-1\r\n";
    let answer = call(gateway.callers, "/once/2?q=%20x", headers, "body").await;
    assert_eq!(answer.status, 200);
    assert!(answer.text.ends_with("hello"));
    let seen = targets[0].calls().remove(0);
    assert!(seen.starts_with("POST /once/2?q=%20x HTTP/1.1\r\n"));
    assert!(seen.contains("x-other: yes") && seen.ends_with("\r\n\r\nbody"));
    assert!(seen.contains("x-workspace: depot"));
    assert!(!seen.contains("key-1") && !seen.contains("connection: close"));
}

// Guards against running a call again that may have run, and against a response that says that it did
// not run.
#[tokio::test]
async fn a_broken_call_runs_at_most_once() {
    for mode in [TargetMode::Break, TargetMode::Truncate, TargetMode::Foreign] {
        let (_store, targets, gateway) = start_setup("app", &[mode, mode]).await;
        let answer = call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
        assert_eq!(answer.status, 502, "{mode:?}");
        assert!(!answer.text.contains("hel"), "{mode:?}");
        assert_eq!(arrivals(&targets), 1, "{mode:?}");
    }
}

// Guards against failing a call that one target refused and another can serve.
#[tokio::test]
async fn a_refused_call_goes_to_another_target() {
    let (_store, targets, gateway) =
        start_setup("app", &[TargetMode::Refuse, TargetMode::Answer]).await;
    for id in ["a1", "a2", "a3"] {
        let headers = format!("x-id: {id}\r\n");
        let answer = call(gateway.callers, "/once/1", &headers, "").await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(targets[1].calls().len(), 3);
}

// Guards against a response that leaves open whether the call ran, although every target refused it.
#[tokio::test]
async fn a_call_that_all_targets_refuse_gets_retry_after() {
    let (_store, _targets, gateway) =
        start_setup("app", &[TargetMode::Refuse, TargetMode::Refuse]).await;
    let answer = call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    assert!(matches!(answer.status, 429 | 503), "{}", answer.text);
    assert!(answer.text.contains("retry-after"));
}

// Guards against failing an idempotent call too early, and against more runs than its route allows.
#[tokio::test]
async fn an_idempotent_call_is_repeated_as_often_as_allowed() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Break; 4]).await;
    let answer = call(gateway.callers, "/read/1", "x-id: a1\r\n", "").await;
    assert_eq!(answer.status, 502);
    assert_eq!(arrivals(&targets), 2);
    targets
        .iter()
        .for_each(|target| target.set_mode(TargetMode::Answer));
    let answer = call(gateway.callers, "/read/1", "x-id: a2\r\n", "").await;
    assert_eq!(answer.status, 200);
}

// Guards against waiting for a target that hangs while another one would answer.
#[tokio::test]
async fn an_idempotent_call_is_sent_again_if_a_target_hangs() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Hang]).await;
    let pending = tokio::spawn(call_read_route(gateway.callers));
    until("the call hangs", || targets[0].open_calls() == 1).await;
    let second = FakeTarget::start("app", TargetMode::Answer).await;
    _store.put_target(&second, "ready");
    assert_eq!(pending.await.unwrap(), 200);
    until("the first run is cancelled", || {
        targets[0].open_calls() == 0
    })
    .await;
}

/// Calls the idempotent route and returns the status; takes no borrowed values, so it can be spawned.
async fn call_read_route(address: std::net::SocketAddr) -> u16 {
    call(address, "/read/1", "x-id: a1\r\n", "").await.status
}

// Guards against keeping a caller waiting past the time-out of its route.
#[tokio::test]
async fn a_call_fails_at_the_route_timeout() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Hang]).await;
    let start = Instant::now();
    let answer = call(gateway.callers, "/short/1", "x-id: a1\r\n", "").await;
    assert_eq!(answer.status, 504);
    assert!(start.elapsed().as_millis() >= 150);
    until("the run is cancelled", || targets[0].open_calls() == 0).await;
}

// Guards against a target that goes on working for a caller that has disconnected.
#[tokio::test]
async fn a_call_is_cancelled_when_its_caller_disconnects() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Hang]).await;
    let stream = open_stream(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    until("the call arrives", || targets[0].open_calls() == 1).await;
    drop(stream);
    until("the run is cancelled", || targets[0].open_calls() == 0).await;
}

// Guards against request smuggling, where one request hides in the body of another whose length is
// stated in two ways: the HTTP library has to close the connection.
#[tokio::test]
async fn nothing_is_read_after_an_ambiguous_length() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    let hidden = "POST /once/9 HTTP/1.1\r\nhost: shop.example\r\nx-id: a2\r\n\r\n";
    let text = format!(
        "POST /once/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: a1\r\ncontent-length: 77\r\n\
         transfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}"
    );
    let answer = send_raw(gateway.callers, &text).await;
    assert!(answer.contains("connection: close"));
    assert_eq!(answer.matches("HTTP/1.1").count(), 1);
    assert!(targets[0].calls().iter().all(|call| !call.contains("a2")));
}

/// Sends raw bytes and reads until the gateway closes the connection.
async fn send_raw(address: std::net::SocketAddr, text: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // The gateway closes with unread bytes, which resets the connection; what arrived before counts.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

// Guards against calls to a target whose entry was removed from the store without notice.
#[tokio::test]
async fn a_removed_target_gets_no_calls() {
    let (store, targets, gateway) = start_setup("app", &[TargetMode::Answer; 3]).await;
    store.remove_target(&targets[0]);
    let core = gateway.server.core();
    until("the removal is known", || {
        core.with_state(|state, _| state.balancer.targets().len() == 2)
    })
    .await;
    for id in ["a1", "a2", "a3", "a4"] {
        let headers = format!("x-id: {id}\r\n");
        let answer = call(gateway.callers, "/once/1", &headers, "").await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(targets[0].calls().len(), 0);
}

// Guards against serving calls that the configuration does not allow.
#[tokio::test]
async fn refuses_unknown_routes_and_keys() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    let none = call(gateway.callers, "/none/1", "x-id: a1\r\n", "").await;
    let locked = call(gateway.callers, "/locked/1", "x-id: a2\r\n", "").await;
    let unnamed = call(gateway.callers, "/once/1", "", "").await;
    assert_eq!(
        [none.status, locked.status, unnamed.status],
        [404, 401, 400]
    );
    assert_eq!(arrivals(&targets), 0);
    let headers = "x-id: a3\r\nx-key: key-1\r\n";
    let open = call(gateway.callers, "/locked/1", headers, "").await;
    assert_eq!(open.status, 200);
}

// Guards against reporting ready, or answering calls with 404, while the gateway has no configuration.
#[tokio::test]
async fn a_gateway_without_configuration_is_not_ready() {
    let store = FakeStore::new();
    store.is_down.store(true, Ordering::Relaxed);
    let gateway = Gateway::start(&store, "patan", Vec::new()).await;
    let answer = call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    assert_eq!(answer.status, 503);
    assert_eq!(call(gateway.ready, "/", "", "").await.status, 503);
    store.is_down.store(false, Ordering::Relaxed);
    store.put_config(1);
    gateway.wait_ready().await;
    assert_eq!(call(gateway.ready, "/", "", "").await.status, 200);
}

// Guards against bodies that exceed the memory of the process together, and against small calls that
// are refused because of large ones.
#[tokio::test]
async fn a_body_without_memory_is_refused() {
    const BODY_BYTES: usize = 1 << 20;
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    let large = "a".repeat(BODY_BYTES);
    let chunked = format!("{BODY_BYTES:x}\r\n{large}\r\n0\r\n\r\n");
    let chunked_head = "x-id: c1\r\ntransfer-encoding: chunked\r\nx-without-length: 1\r\n";
    // Takes all that large bodies may have.
    let mut held = gateway.server.core().bodies.new_lease();
    let mut bytes = 0;
    while held.try_grow_to(ByteCount(bytes + BODY_BYTES as u64 / 2)) {
        bytes += BODY_BYTES as u64 / 2;
    }
    let refused = call(gateway.callers, "/once/1", "x-id: a1\r\n", &large).await;
    assert!(matches!(refused.status, 429 | 503), "{}", refused.status);
    assert!(refused.text.contains("retry-after"));
    let refused = call(gateway.callers, "/once/1", chunked_head, &chunked).await;
    assert!(matches!(refused.status, 429 | 503), "{}", refused.status);
    assert!(targets[0].calls().is_empty());
    let small = call(gateway.callers, "/once/1", "x-id: a2\r\n", "small").await;
    assert_eq!(small.status, 200);
    drop(held);
    let served = call(gateway.callers, "/once/1", "x-id: a3\r\n", &large).await;
    assert_eq!(served.status, 200);
    let served = call(gateway.callers, "/once/1", chunked_head, &chunked).await;
    assert_eq!(served.status, 200);
}

// Guards against losing the response to a call that ran, or the call itself, for its many headers.
#[tokio::test]
async fn calls_and_responses_with_many_headers_are_passed_on() {
    const HEADERS: usize = 150;
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::ManyHeaders(HEADERS)]).await;
    let more: String = (0..HEADERS)
        .map(|number| format!("x-own-{number}: {number}\r\n"))
        .collect();
    let headers = format!("x-id: a1\r\n{more}");
    let answer = call(gateway.callers, "/once/1", &headers, "").await;
    assert_eq!(answer.status, 200, "{}", answer.text);
    let last = HEADERS - 1;
    assert!(answer.text.contains(&format!("x-more-{last}: {last}")));
    assert!(targets[0].calls()[0].contains(&format!("x-own-{last}: {last}")));
}

// Guards against a response that is too large and counts as lost: the call ran, must not be told
// otherwise, and would have the same response elsewhere.
#[yare::parameterized(
    at_most_once = { "/once/1" },
    idempotent = { "/read/1" },
)]
#[test_macro(tokio::test)]
async fn a_response_beyond_the_limit_is_told_as_such(path: &'static str) {
    let limit = GatewaySettings::DEFAULT_RESPONSE_LIMIT.0 as usize;
    let modes = [TargetMode::LargeAnswer(limit + 1); 2];
    let (_store, targets, gateway) = start_setup("app", &modes).await;
    let answer = call(gateway.callers, path, "x-id: a1\r\n", "").await;
    assert_eq!(answer.status, 502);
    assert!(
        answer.text.contains("response_too_large"),
        "{}",
        answer.text
    );
    assert_eq!(arrivals(&targets), 1);
    targets
        .iter()
        .for_each(|target| target.set_mode(TargetMode::LargeAnswer(limit)));
    let answer = call(gateway.callers, path, "x-id: a2\r\n", "").await;
    assert_eq!(answer.status, 200);
}
