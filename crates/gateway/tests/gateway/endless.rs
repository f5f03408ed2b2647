//! Targets that send without end, and callers that do not read.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::support::{TargetMode, call, open_stream, start_setup, until};

/// Largest number of bytes that a gateway may read of an endless response, with those in socket
/// buffers.
const READ_LIMIT: usize = 24 << 20;
/// Time within which a call with a short deadline has to be over.
const END_WAIT: Duration = Duration::from_secs(10);

/// Calls a target of `mode` and checks that the call ends, that the connection to the target is closed,
/// and that the gateway still serves other calls. Returns what the caller received.
async fn check_endless(service: &'static str, path: &str, mode: TargetMode) -> String {
    let (_store, targets, gateway) = start_setup(service, &[mode]).await;
    let headers = "x-id: e1\r\nx-size: 1000\r\nx-wait: 1500\r\n";
    let answer = timeout(END_WAIT, call(gateway.callers, path, headers, "")).await;
    let answer = answer.expect("the call ends");
    until("the connection to the target is closed", || {
        targets[0].open_calls() == 0
    })
    .await;
    assert!(targets[0].endless_bytes() < READ_LIMIT);
    targets[0].set_mode(TargetMode::Answer);
    let after = call(gateway.callers, "/once/2", "x-id: e2\r\n", "").await;
    assert!(after.status == 200 || service == "pool", "{}", after.text);
    answer.text
}

// Guards against reading an endless response head until memory or the deadline runs out.
#[tokio::test]
async fn an_endless_head_ends_the_call() {
    for mode in [TargetMode::EndlessHead, TargetMode::EndlessInterim] {
        let text = check_endless("app", "/once/1", mode).await;
        assert!(text.starts_with("HTTP/1.1 502"), "{text}");
        let text = check_endless("pool", "/stream/1", mode).await;
        assert!(text.starts_with("HTTP/1.1 502"), "{text}");
    }
}

// Guards against buffering an endless body in memory, and against passing it on as a complete
// response.
#[tokio::test]
async fn an_endless_body_ends_the_call() {
    let text = check_endless("app", "/once/1", TargetMode::EndlessBody).await;
    assert!(text.starts_with("HTTP/1.1 50"), "{text}");
    let text = check_endless("pool", "/stream/1", TargetMode::EndlessBody).await;
    assert!(!text.ends_with("0\r\n\r\n"));
}

// Guards against a stream without events that outlives its deadline because bytes arrive all the time
// or now and then.
#[tokio::test]
async fn a_stream_without_events_ends_at_its_deadline() {
    for mode in [TargetMode::EndlessComments, TargetMode::Drip] {
        let text = check_endless("pool", "/stream/1", mode).await;
        assert!(text.contains("id: 1"), "{text}");
        assert!(!text.ends_with("0\r\n\r\n"));
    }
}

// Guards against a caller that does not read and so keeps an engine busy past its deadline.
#[tokio::test]
async fn a_caller_that_does_not_read_frees_the_engine() {
    let (_store, targets, gateway) = start_setup("pool", &[TargetMode::LargeEvents]).await;
    let headers = "x-id: e1\r\nx-size: 1000\r\nx-wait: 1000\r\n";
    let caller = open_stream(gateway.callers, "/stream/1", headers, "").await;
    until("the stream runs", || targets[0].open_calls() == 1).await;
    let freed = until("the connection to the engine is closed", || {
        targets[0].open_calls() == 0
    });
    timeout(END_WAIT, freed).await.expect("at the deadline");
    let core = gateway.server.core();
    until("no stream is left", || {
        core.with_state(|state, _| state.active_streams == 0)
    })
    .await;
    drop(caller);
}

// Guards against breaking off a stream that is slow but within its deadline.
#[tokio::test]
async fn a_slow_stream_goes_on_while_its_caller_waits() {
    let (_store, targets, gateway) = start_setup("pool", &[TargetMode::Drip]).await;
    let headers = "x-id: e1\r\nx-size: 1000\r\nx-wait: 8000\r\n";
    let _caller = open_stream(gateway.callers, "/stream/1", headers, "").await;
    until("the stream runs", || targets[0].open_calls() == 1).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(targets[0].open_calls(), 1);
}
