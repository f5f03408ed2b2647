//! Targets that turn calls away and want nothing for a while.

use std::time::{Duration, Instant};

use base::TimeSpan;
use entry::TargetHealth;

use crate::support::{FakeTarget, Gateway, TargetMode, call, open_stream, start_scene, until};

fn retry_after(text: &str) -> u64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.unwrap().trim().parse().unwrap()
}

/// Time for which a target wants nothing from a node.
fn quiet_left(gateway: &Gateway, target: &FakeTarget) -> Option<TimeSpan> {
    let core = gateway.server.core();
    let name = target.name.parse().unwrap();
    core.with_state(|state, now| state.board.target(&name).unwrap().backoff.left(now))
}

// Guards against calls to a target that asked for quiet, against callers who wait for one that can't
// take them, and against advice to come back before it can.
#[tokio::test]
async fn a_target_gets_nothing_while_it_wants_quiet() {
    for (service, path) in [
        ("app", "/once/1"),
        ("app", "/read/1"),
        ("pool", "/stream/1"),
    ] {
        let (_store, targets, gateway) = start_scene(service, &[TargetMode::Refuse]).await;
        targets[0].ask_quiet("2500");
        let first = call(gateway.callers, path, "x-id: a0\r\nx-size: 10\r\n", "").await;
        assert!(matches!(first.status, 429 | 503), "{path}");
        let start = Instant::now();
        for id in 1..6 {
            let headers = format!("x-id: a{id}\r\nx-size: 10\r\n");
            let answer = call(gateway.callers, path, &headers, "").await;
            assert!(matches!(answer.status, 429 | 503), "{path}");
            // Whole seconds, rounded up, of 2.5 s and what spreads the callers.
            let advised = retry_after(&answer.text);
            assert!((2..=4).contains(&advised), "{path}: {advised}");
        }
        assert!(start.elapsed() < Duration::from_secs(2), "{path}");
        assert_eq!(targets[0].calls().len(), 1, "{path}");
        targets[0].set_mode(TargetMode::Answer);
        until("the time is over", || {
            quiet_left(&gateway, &targets[0]).is_none()
        })
        .await;
        if service == "app" {
            let answer = call(gateway.callers, path, "x-id: a9\r\n", "").await;
            assert_eq!(answer.status, 200, "{path}");
        }
    }
}

// Guards against a node that goes on using a target since another service or node has room there.
#[tokio::test]
async fn calls_go_to_targets_that_did_not_ask_for_quiet() {
    let modes = [TargetMode::Refuse, TargetMode::Answer];
    let (_store, targets, gateway) = start_scene("app", &modes).await;
    targets[0].ask_quiet("60000");
    for id in 0..12 {
        let headers = format!("x-id: a{id}\r\n");
        let answer = call(gateway.callers, "/once/1", &headers, "").await;
        assert_eq!(answer.status, 200);
    }
    assert!(targets[0].calls().len() <= 1);
}

// Guards against calls in the line that are sent when the engine asks for quiet meanwhile.
#[tokio::test]
async fn calls_in_the_line_are_told_to_come_back() {
    const SLOTS: usize = 8;
    let (_store, targets, gateway) = start_scene("pool", &[TargetMode::Hang]).await;
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
    until("a call waits", || {
        core.with_state(|state, _| !state.waiters.is_empty())
    })
    .await;
    let run = core.with_state(|state, _| state.board.targets()[0].run());
    core.take_quiet(
        &run.0,
        run.1,
        &gateway::QuietAsk::For(TimeSpan::from_secs(30)),
    );
    let answer = waiting.await.unwrap();
    assert!(matches!(answer.status, 429 | 503), "{}", answer.status);
    assert!(retry_after(&answer.text) >= 29);
    drop(running);
    assert_eq!(targets[0].calls().len(), SLOTS);
}

// Guards against values that can't be read, which end no process and pause no target for long.
#[tokio::test]
async fn an_unclear_time_counts_as_a_second() {
    let (_store, targets, gateway) = start_scene("app", &[TargetMode::Refuse]).await;
    targets[0].ask_quiet("soon");
    call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    let left = quiet_left(&gateway, &targets[0]).unwrap();
    assert!(left <= TimeSpan::from_secs(1));
}

// Guards against a target that counts as failed since it asked for quiet.
#[tokio::test]
async fn a_quiet_time_is_no_fault() {
    let (_store, targets, gateway) = start_scene("app", &[TargetMode::Refuse]).await;
    targets[0].ask_quiet("60000");
    call(gateway.callers, "/once/1", "x-id: a1\r\n", "").await;
    let core = gateway.server.core();
    core.with_state(|state, now| {
        let health = state.board.targets()[0].health;
        let fresh = TargetHealth::default().failure_share(now);
        assert_eq!(health.failure_share(now), fresh);
        assert!(health.is_reachable() && health.accepts(now));
    });
}
