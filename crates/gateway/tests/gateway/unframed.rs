//! Responses with neither length nor chunks, which end with their connection.

use calls::RequestFingerprint;
use entry::{CallFeatures, CallVerdict};
use yare::parameterized;

use crate::support::{TargetMode, UnframedEnd, call, start_setup, until};

/// End of a response that is complete for the caller.
const CHUNKS_END: &str = "\r\n0\r\n\r\n";

// Guards against a stream without length or chunks that looks complete although it was broken off, or
// broken off although it is complete, and against blaming the call while its target lives.
#[parameterized(
    whole = { 3, UnframedEnd::Orderly, true },
    within_an_event = { 3, UnframedEnd::WithinEvent, false },
    reset = { 3, UnframedEnd::Reset, false },
    no_event = { 0, UnframedEnd::Orderly, false },
    first_event_not_whole = { 0, UnframedEnd::WithinEvent, false },
)]
#[test_macro(tokio::test)]
async fn an_unframed_stream_is_complete_only_at_an_orderly_end(
    events: u64,
    end: UnframedEnd,
    is_complete: bool,
) {
    let modes = [TargetMode::Unframed(events, end)];
    let (_store, targets, gateway) = start_setup("pool", &modes).await;
    for attempt in 0..3 {
        let headers = format!("x-id: a-{attempt}\r\nx-size: 10\r\nx-parts: common\r\n");
        let response = call(gateway.callers, "/stream/1", &headers, "same").await;
        assert_eq!(response.status, 200);
        assert_eq!(
            response.text.ends_with(CHUNKS_END),
            is_complete,
            "{}",
            response.text
        );
        for number in 1..=events {
            assert_eq!(
                response.text.matches(&format!("piece {number}\n")).count(),
                1
            );
        }
        assert!(!response.text.contains("id: 99"));
        let core = gateway.server.core();
        let features = CallFeatures::new(RequestFingerprint::new("/stream/1\n", b"same"));
        until("the target is known to live", || {
            let verdict = core.with_state(|state, now| state.facts.verdict(now, &features));
            verdict == CallVerdict::Unrestricted
        })
        .await;
    }
    assert_eq!(targets[0].calls().len(), 3);
}

// Guards against a stream that looks complete although the gateway had ordered its engine to stop
// it, because the response to that order was lost.
#[tokio::test]
async fn a_stream_that_may_have_been_stopped_does_not_look_complete() {
    const EVENTS: u64 = 200;
    let modes = [
        TargetMode::Unframed(EVENTS, UnframedEnd::Orderly),
        TargetMode::Refuse,
    ];
    let (store, targets, gateway) = start_setup("pool", &modes).await;
    targets[0].lose_stop_responses();
    let callers = gateway.callers;
    let pending = tokio::spawn(async move {
        call(callers, "/stream/1", "x-id: a-1\r\nx-size: 1000\r\n", "").await
    });
    until("the stream runs", || targets[0].open_calls() == 1).await;
    targets[1].set_mode(TargetMode::Stream(EVENTS));
    store.put_target(&targets[0], "leaving");
    let response = pending.await.unwrap();
    let events = response.text.matches("data: piece").count() as u64;
    assert!((1..EVENTS).contains(&events), "{events} events");
    assert!(!response.text.ends_with(CHUNKS_END), "{}", response.text);
}

// Guards against passing on a plain answer without length that was reset on the way.
#[parameterized(
    whole = { UnframedEnd::Orderly, 200 },
    reset = { UnframedEnd::Reset, 502 },
)]
#[test_macro(tokio::test)]
async fn an_unframed_plain_answer_is_passed_on_whole_or_not_at_all(end: UnframedEnd, status: u16) {
    let (_store, _targets, gateway) = start_setup("app", &[TargetMode::Unframed(2, end)]).await;
    let response = call(gateway.callers, "/once/1", "x-id: a-1\r\n", "order").await;
    assert_eq!(response.status, status);
    assert_eq!(response.text.contains("piece 2\n"), status == 200);
}

// Guards against taking a crash before the first event for the complete answer of a generation.
#[tokio::test]
async fn a_crash_that_ends_an_unframed_stream_without_an_event_is_blamed_on_the_call() {
    let mode = TargetMode::Unframed(0, UnframedEnd::Orderly);
    let (_store, targets, gateway) = start_setup("pool", &[mode]).await;
    // The target refuses connections by the time its stream ends.
    targets[0].crash_after_calls();
    let headers = "x-id: a-1\r\nx-size: 10\r\nx-parts: common\r\n";
    call(gateway.callers, "/stream/1", headers, "same").await;
    let core = gateway.server.core();
    let part = entry::FeatureId::of_part(&"common".parse().unwrap());
    until("the crash is blamed on the part", || {
        core.with_state(|state, now| state.facts.crashed_targets(now, part).len()) == 1
    })
    .await;
}
