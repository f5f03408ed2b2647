//! Targets that refuse calls and ask the node to back off.

use std::time::{Duration, Instant};

use base::TimeSpan;
use entry::TargetHealth;

use crate::support::{FakeTarget, Gateway, TargetMode, call, open_stream, start_setup, until};

/// Seconds of the `retry-after` header of an answer.
fn retry_after(text: &str) -> u64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.unwrap().trim().parse().unwrap()
}

/// Time until the backoff that a target asked a node for ends.
fn backoff_left(gateway: &Gateway, target: &FakeTarget) -> Option<TimeSpan> {
    let core = gateway.server.core();
    let name = target.name.parse().unwrap();
    core.with_state(|state, now| state.balancer.target(&name).unwrap().backoff.left(now))
}

// Guards against calls that are sent to a target during its backoff, against callers that wait in the
// queue for such a target, and against retry advice that ends before the backoff does.
#[tokio::test]
async fn a_target_gets_no_calls_during_its_backoff() {
    for (service, path) in [
        ("app", "/once/1"),
        ("app", "/read/1"),
        ("pool", "/stream/1"),
    ] {
        let (_store, targets, gateway) = start_setup(service, &[TargetMode::Refuse]).await;
        targets[0].request_backoff("2500");
        let first = call(gateway.callers, path, "x-id: a0\r\nx-size: 10\r\n", "").await;
        assert!(matches!(first.status, 429 | 503), "{path}");
        let start = Instant::now();
        for id in 1..6 {
            let headers = format!("x-id: a{id}\r\nx-size: 10\r\n");
            let answer = call(gateway.callers, path, &headers, "").await;
            assert!(matches!(answer.status, 429 | 503), "{path}");
            // The backoff of 2.5 s and the random spread of up to 1 s, in whole seconds rounded up.
            let advised = retry_after(&answer.text);
            assert!((2..=4).contains(&advised), "{path}: {advised}");
        }
        assert!(start.elapsed() < Duration::from_secs(2), "{path}");
        assert_eq!(targets[0].calls().len(), 1, "{path}");
        targets[0].set_mode(TargetMode::Answer);
        until("the backoff is over", || {
            backoff_left(&gateway, &targets[0]).is_none()
        })
        .await;
        if service == "app" {
            let answer = call(gateway.callers, path, "x-id: a9\r\n", "").await;
            assert_eq!(answer.status, 200, "{path}");
        }
    }
}

// Guards against a node that goes on sending to a target during its backoff because another service
// or node still has capacity there.
#[tokio::test]
async fn calls_go_to_targets_without_a_backoff() {
    let modes = [TargetMode::Refuse, TargetMode::Answer];
    let (_store, targets, gateway) = start_setup("app", &modes).await;
    targets[0].request_backoff("60000");
    for id in 0..12 {
        let headers = format!("x-id: a{id}\r\n");
        let answer = call(gateway.callers, "/once/1", &headers, "").await;
        assert_eq!(answer.status, 200);
    }
    assert!(targets[0].calls().len() <= 1);
}

// Guards against queued calls that are sent to, or go on waiting for, an engine that has asked for a
// backoff meanwhile.
#[tokio::test]
async fn queued_calls_are_refused_with_retry_advice() {
    const SLOTS: usize = 8;
    let (_store, targets, gateway) = start_setup("pool", &[TargetMode::Hang]).await;
    let mut running = Vec::new();
    for id in 0..SLOTS {
        let headers = format!("x-id: s{id}\r\nx-size: 10\r\n");
        running.push(open_stream(gateway.callers, "/stream/1", &headers, "").await);
    }
    until("the engine is full", || targets[0].open_calls() == SLOTS).await;
    let callers = gateway.callers;
    let waiting =
        tokio::spawn(
            async move { call(callers, "/stream/1", "x-id: w1\r\nx-size: 10\r\n", "").await },
        );
    let core = gateway.server.core();
    until("a call is queued", || {
        core.with_state(|state, _| !state.waiters.is_empty())
    })
    .await;
    let run = core.with_state(|state, _| state.balancer.targets()[0].run());
    core.start_target_backoff(
        &run.0,
        run.1,
        &gateway::BackoffRequest::For(TimeSpan::from_secs(30)),
    );
    let answer = waiting.await.unwrap();
    assert!(matches!(answer.status, 429 | 503), "{}", answer.status);
    assert!(retry_after(&answer.text) >= 29);
    drop(running);
    assert_eq!(targets[0].calls().len(), SLOTS);
}

// Guards against backoff requests that can't be read: they must neither stop the process nor pause
// the target for long.
#[tokio::test]
async fn an_unreadable_backoff_counts_as_one_second() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Refuse]).await;
    targets[0].request_backoff("soon");
    call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    let left = backoff_left(&gateway, &targets[0]).unwrap();
    assert!(left <= TimeSpan::from_secs(1));
}

// Guards against a target whose health gets worse because it asked for a backoff.
#[tokio::test]
async fn a_backoff_does_not_affect_health() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Refuse]).await;
    targets[0].request_backoff("60000");
    call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    let core = gateway.server.core();
    core.with_state(|state, now| {
        let health = state.balancer.targets()[0].health;
        let fresh = TargetHealth::default().failure_share(now);
        assert_eq!(health.failure_share(now), fresh);
        assert!(health.is_reachable() && health.accepts(now));
    });
}

// Guards against calls to a target during its backoff because its entry lapsed and came back.
#[tokio::test]
async fn a_target_whose_entry_comes_back_gets_no_calls_during_its_backoff() {
    let (store, targets, gateway) = start_setup("app", &[TargetMode::Refuse]).await;
    let target = &targets[0];
    target.request_backoff("60000");
    call(gateway.callers, "/once/1", "x-id: a0\r\n", "").await;
    let core = gateway.server.core();
    let count = || core.with_state(|state, _| state.balancer.targets().len());
    store.remove_target(target);
    until("the target is gone", || count() == 0).await;
    store.put_target(target, "ready");
    until("the target is back", || count() == 1).await;
    target.set_mode(TargetMode::Answer);
    let answer = call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    assert!(matches!(answer.status, 429 | 503), "{}", answer.status);
    assert_eq!(target.calls().len(), 1);
}
