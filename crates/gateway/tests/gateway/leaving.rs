//! Targets that announce in their responses that they are leaving.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use crate::support::{
    FakeTarget, Gateway, LeavingSignal, TargetMode, call, open_stream, start_setup, until,
};

/// Time within which gateways that reach each other agree on which targets are leaving.
const AGREE_WAIT: Duration = Duration::from_secs(3);

/// Makes a call and returns the status.
async fn status_of(gateway: &Gateway, path: &str, id: &str) -> u16 {
    let headers = format!("x-id: {id}\r\nx-size: 10\r\n");
    call(gateway.callers, path, &headers, "").await.status
}

/// Whether a gateway would send new calls to a target.
fn accepts_calls(gateway: &Gateway, target: &FakeTarget) -> bool {
    let core = gateway.server.core();
    let name = target.name.parse().unwrap();
    core.with_state(|state, now| {
        state
            .balancer
            .target(&name)
            .is_some_and(|one| one.accepts(now))
    })
}

// Guards against new calls to a target that announced in any kind of response that it is leaving.
#[tokio::test]
async fn a_target_that_announces_leaving_gets_no_new_calls() {
    let cases = [
        ("app", TargetMode::Answer, LeavingSignal::Head, 200),
        ("app", TargetMode::Answer, LeavingSignal::Trailer, 200),
        ("app", TargetMode::Fail(500), LeavingSignal::Head, 500),
        ("app", TargetMode::Fail(404), LeavingSignal::Head, 404),
        ("pool", TargetMode::Stream(3), LeavingSignal::Head, 200),
        ("pool", TargetMode::Stream(3), LeavingSignal::Trailer, 200),
        ("pool", TargetMode::Fail(500), LeavingSignal::Head, 500),
    ];
    for (service, mode, signal, expected) in cases {
        let (_store, targets, gateway) = start_setup(service, &[mode]).await;
        let path = match service {
            "app" => "/once/1",
            _ => "/stream/1",
        };
        targets[0].announce_leaving(signal);
        assert_eq!(status_of(&gateway, path, "a1").await, expected, "{mode:?}");
        assert_eq!(status_of(&gateway, path, "a2").await, 503, "{mode:?}");
        assert_eq!(targets[0].calls().len(), 1, "{mode:?} {signal:?}");
    }
}

// Guards against sending refused calls again to a leaving target that refused one.
#[tokio::test]
async fn a_target_that_refuses_and_leaves_gets_no_new_calls() {
    let (_store, targets, gateway) = start_setup("app", &[TargetMode::Refuse]).await;
    targets[0].announce_leaving(LeavingSignal::Head);
    for id in ["a1", "a2", "a3"] {
        let status = status_of(&gateway, "/once/1", id).await;
        assert!(matches!(status, 429 | 503), "{status}");
    }
    assert_eq!(targets[0].calls().len(), 1);
}

// Guards against other gateways, and those that join later, that go on using a leaving target.
#[tokio::test]
async fn peers_and_joining_gateways_know_which_targets_leave() {
    let (store, targets, first) = start_setup("app", &[TargetMode::Answer]).await;
    let mut nodes = Vec::new();
    for domain in ["patan", "balaju", "balaju"] {
        let node = Gateway::start(&store, domain, vec![first.peers]).await;
        node.wait_ready().await;
        nodes.push(node);
    }
    until("the gateways know the target", || {
        nodes.iter().all(|node| accepts_calls(node, &targets[0]))
    })
    .await;
    targets[0].announce_leaving(LeavingSignal::Head);
    assert_eq!(status_of(&first, "/once/1", "a1").await, 200);
    assert!(!accepts_calls(&first, &targets[0]));
    sleep(AGREE_WAIT).await;
    for node in &nodes {
        assert!(!accepts_calls(node, &targets[0]));
    }
    let joined = Gateway::start(&store, "patan", vec![first.peers]).await;
    joined.wait_ready().await;
    assert_eq!(status_of(&joined, "/once/1", "a2").await, 503);
    assert_eq!(targets[0].calls().len(), 1);
}

// Guards against an entry of the store that still says ready and makes a leaving target usable again.
#[tokio::test]
async fn a_ready_entry_does_not_undo_an_announced_leave() {
    let (store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    targets[0].announce_leaving(LeavingSignal::Head);
    assert_eq!(status_of(&gateway, "/once/1", "a1").await, 200);
    store.put_target(&targets[0], "ready");
    let other = FakeTarget::start("pool", TargetMode::Answer).await;
    store.put_target(&other, "ready");
    until("the new list is read", || accepts_calls(&gateway, &other)).await;
    assert_eq!(status_of(&gateway, "/once/1", "a2").await, 503);
}

// Guards against mistaking a new run of a target for the old one, and against ignoring that the
// platform withdraws the leave of a target.
#[tokio::test]
async fn a_new_run_and_a_withdrawn_leave_get_calls() {
    let (store, targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    targets[0].announce_leaving(LeavingSignal::Head);
    assert_eq!(status_of(&gateway, "/once/1", "a1").await, 200);
    store.put_run(&targets[0], "ready", 2);
    until("the new run is used", || {
        accepts_calls(&gateway, &targets[0])
    })
    .await;
    assert_eq!(status_of(&gateway, "/once/1", "a2").await, 200);
    assert!(!accepts_calls(&gateway, &targets[0]));
    store.put_run(&targets[0], "leaving", 2);
    let is_listed_leaving = || {
        let core = gateway.server.core();
        core.with_state(|state, _| state.balancer.targets()[0].record.is_leaving)
    };
    until("the platform lists it as leaving", is_listed_leaving).await;
    store.put_run(&targets[0], "ready", 2);
    until("the leave is withdrawn", || {
        accepts_calls(&gateway, &targets[0])
    })
    .await;
    assert_eq!(status_of(&gateway, "/once/1", "a3").await, 200);
}

// Guards against losing generations on an engine whose leave is announced only in its responses.
#[tokio::test]
async fn generations_move_off_an_engine_that_announces_leaving() {
    const EVENTS: u64 = 300;
    let (store, targets, gateway) = start_setup("pool", &[TargetMode::Stream(EVENTS)]).await;
    let headers = "x-id: long\r\nx-size: 300\r\n";
    let mut stream = open_stream(gateway.callers, "/stream/1", headers, "").await;
    until("the stream runs", || targets[0].open_calls() == 1).await;
    let other = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    targets[0].announce_leaving(LeavingSignal::Head);
    let headers = "x-id: short\r\nx-size: 300\r\n";
    let _second = open_stream(gateway.callers, "/stream/1", headers, "").await;
    until("the engine is known to be leaving", || {
        !accepts_calls(&gateway, &targets[0])
    })
    .await;
    store.put_target(&other, "ready");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    assert_eq!(text.matches("data: piece").count() as u64, EVENTS);
    assert!(
        !other.calls().is_empty(),
        "the generation resumed on the other engine"
    );
}

// Guards against a generation that is moved to an engine which began to leave during the copy: it
// would be lost with that engine, and engines that leave get no new work.
#[tokio::test]
async fn a_destination_that_leaves_during_the_copy_is_not_used() {
    const EVENTS: u64 = 300;
    let modes = [TargetMode::Stream(EVENTS)];
    let (store, targets, gateway) = start_setup("pool", &modes).await;
    let source = &targets[0];
    let callers = gateway.callers;
    let pending = tokio::spawn(async move {
        call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
    });
    until("the stream runs", || source.open_calls() == 1).await;
    let destination = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    store.put_target(&destination, "ready");
    until("the destination is known", || {
        accepts_calls(&gateway, &destination)
    })
    .await;
    source.set_copy_time(Duration::from_millis(600));
    store.put_target(source, "leaving");
    let core = gateway.server.core();
    let name = destination.name.parse().unwrap();
    until("the copy to the destination runs", || {
        core.with_state(|state, _| {
            let target = state.balancer.target(&name);
            target.is_some_and(|one| !one.total().is_empty())
        })
    })
    .await;
    let other = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    store.put_target(&other, "ready");
    store.put_target(&destination, "leaving");
    let response = pending.await.unwrap();
    for number in 1..=EVENTS {
        let piece = format!("data: piece {number}\n");
        assert_eq!(response.text.matches(&piece).count(), 1, "{piece}");
    }
    assert!(destination.calls().is_empty());
    assert_eq!(other.calls().len(), 1);
}
