//! Targets that say in their answers that they leave.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use crate::support::{
    FakeTarget, Gateway, LeavingWord, TargetMode, call, open_stream, start_scene, until,
};

/// Time within which reachable nodes agree on who leaves.
const AGREE_WAIT: Duration = Duration::from_secs(3);

async fn status_of(gateway: &Gateway, path: &str, id: &str) -> u16 {
    let headers = format!("x-id: {id}\r\nx-size: 10\r\n");
    call(gateway.callers, path, &headers, "").await.status
}

/// Whether a node sends new calls to a target, by what it knows.
fn uses(gateway: &Gateway, target: &FakeTarget) -> bool {
    let core = gateway.server.core();
    let name = target.name.parse().unwrap();
    core.with_state(|state, now| {
        state
            .balancer
            .target(&name)
            .is_some_and(|one| one.accepts(now))
    })
}

// Guards against calls to a target that said that it leaves, in any kind of answer.
#[tokio::test]
async fn a_target_that_says_it_leaves_gets_no_new_calls() {
    let cases = [
        ("app", TargetMode::Answer, LeavingWord::Head, 200),
        ("app", TargetMode::Answer, LeavingWord::Trailer, 200),
        ("app", TargetMode::Fail(500), LeavingWord::Head, 500),
        ("app", TargetMode::Fail(404), LeavingWord::Head, 404),
        ("pool", TargetMode::Stream(3), LeavingWord::Head, 200),
        ("pool", TargetMode::Stream(3), LeavingWord::Trailer, 200),
        ("pool", TargetMode::Fail(500), LeavingWord::Head, 500),
    ];
    for (service, mode, word, expected) in cases {
        let (_store, targets, gateway) = start_scene(service, &[mode]).await;
        let path = match service {
            "app" => "/once/1",
            _ => "/stream/1",
        };
        targets[0].say_leaving(word);
        assert_eq!(status_of(&gateway, path, "a1").await, expected, "{mode:?}");
        assert_eq!(status_of(&gateway, path, "a2").await, 503, "{mode:?}");
        assert_eq!(targets[0].calls().len(), 1, "{mode:?} {word:?}");
    }
}

// Guards against a refused call that is sent to the same target again.
#[tokio::test]
async fn a_target_that_refuses_and_leaves_gets_no_new_calls() {
    let (_store, targets, gateway) = start_scene("app", &[TargetMode::Refuse]).await;
    targets[0].say_leaving(LeavingWord::Head);
    for id in ["a1", "a2", "a3"] {
        let status = status_of(&gateway, "/once/1", id).await;
        assert!(matches!(status, 429 | 503), "{status}");
    }
    assert_eq!(targets[0].calls().len(), 1);
}

// Guards against other nodes, and nodes that join later, that go on using it.
#[tokio::test]
async fn peers_and_nodes_that_join_know_which_targets_leave() {
    let (store, targets, first) = start_scene("app", &[TargetMode::Answer]).await;
    let mut nodes = Vec::new();
    for domain in ["patan", "balaju", "balaju"] {
        let node = Gateway::start(&store, domain, vec![first.peers]).await;
        node.wait_ready().await;
        nodes.push(node);
    }
    until("the nodes know the target", || {
        nodes.iter().all(|node| uses(node, &targets[0]))
    })
    .await;
    targets[0].say_leaving(LeavingWord::Head);
    assert_eq!(status_of(&first, "/once/1", "a1").await, 200);
    assert!(!uses(&first, &targets[0]));
    sleep(AGREE_WAIT).await;
    for node in &nodes {
        assert!(!uses(node, &targets[0]));
    }
    let joined = Gateway::start(&store, "patan", vec![first.peers]).await;
    joined.wait_ready().await;
    assert_eq!(status_of(&joined, "/once/1", "a2").await, 503);
    assert_eq!(targets[0].calls().len(), 1);
}

// Guards against a list that still says ready, which brings a leaving target back.
#[tokio::test]
async fn an_entry_that_says_ready_does_not_bring_it_back() {
    let (store, targets, gateway) = start_scene("app", &[TargetMode::Answer]).await;
    targets[0].say_leaving(LeavingWord::Head);
    assert_eq!(status_of(&gateway, "/once/1", "a1").await, 200);
    store.put_target(&targets[0], "ready");
    let other = FakeTarget::start("pool", TargetMode::Answer).await;
    store.put_target(&other, "ready");
    until("the new list is read", || uses(&gateway, &other)).await;
    assert_eq!(status_of(&gateway, "/once/1", "a2").await, 503);
}

// Guards against a new run that is taken for the old one, and against ignoring that the platform takes
// back that a target leaves.
#[tokio::test]
async fn a_new_run_and_one_that_stays_get_calls() {
    let (store, targets, gateway) = start_scene("app", &[TargetMode::Answer]).await;
    targets[0].say_leaving(LeavingWord::Head);
    assert_eq!(status_of(&gateway, "/once/1", "a1").await, 200);
    store.put_run(&targets[0], "ready", 2);
    until("the new run is used", || uses(&gateway, &targets[0])).await;
    assert_eq!(status_of(&gateway, "/once/1", "a2").await, 200);
    assert!(!uses(&gateway, &targets[0]));
    store.put_run(&targets[0], "leaving", 2);
    let is_told = || {
        let core = gateway.server.core();
        core.with_state(|state, _| state.balancer.targets()[0].record.is_leaving)
    };
    until("the platform says it as well", is_told).await;
    store.put_run(&targets[0], "ready", 2);
    until("it is taken back", || uses(&gateway, &targets[0])).await;
    assert_eq!(status_of(&gateway, "/once/1", "a3").await, 200);
}

// Guards against generations that are lost on an engine that only said itself that it leaves.
#[tokio::test]
async fn generations_move_off_an_engine_that_says_it_leaves() {
    const EVENTS: u64 = 300;
    let (store, targets, gateway) = start_scene("pool", &[TargetMode::Stream(EVENTS)]).await;
    let headers = "x-id: long\r\nx-size: 300\r\n";
    let mut stream = open_stream(gateway.callers, "/stream/1", headers, "").await;
    until("the stream runs", || targets[0].open_calls() == 1).await;
    let other = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    targets[0].say_leaving(LeavingWord::Head);
    let headers = "x-id: short\r\nx-size: 300\r\n";
    let _second = open_stream(gateway.callers, "/stream/1", headers, "").await;
    until("the engine is known to leave", || {
        !uses(&gateway, &targets[0])
    })
    .await;
    store.put_target(&other, "ready");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    assert_eq!(text.matches("data: piece").count() as u64, EVENTS);
    assert!(!other.calls().is_empty(), "the generation goes on there");
}
