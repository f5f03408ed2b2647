//! Evacuation of failure domains.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use base::DomainName;
use tokio::time::sleep;

use crate::support::{CallerResponse, FakeStore, FakeTarget, Gateway, TargetMode, call, until};

/// Number of events of a stream.
const EVENTS: u64 = 150;

/// Whether a gateway knows that a failure domain is evacuated.
fn is_evacuated(gateway: &Gateway, domain: &str) -> bool {
    let domain: DomainName = domain.parse().unwrap();
    let core = gateway.server.core();
    core.with_state(|state, _| state.evacuations.is_evacuated(&domain))
}

/// Number of targets that a gateway knows.
fn target_count(gateway: &Gateway) -> usize {
    let core = gateway.server.core();
    core.with_state(|state, _| state.balancer.targets().len())
}

/// Publishes a configuration and one target of `service` in each of the failure domains `patan` and
/// `balaju`.
async fn start_targets(
    service: &'static str,
    mode: TargetMode,
) -> (Arc<FakeStore>, [FakeTarget; 2]) {
    let store = FakeStore::new();
    store.put_config(1);
    let targets = [
        FakeTarget::start(service, mode).await,
        FakeTarget::start(service, mode).await,
    ];
    store.put_in(&targets[0], "patan", 0);
    store.put_in(&targets[1], "balaju", 0);
    (store, targets)
}

/// Makes `count` calls and returns the last answer.
async fn make_calls(gateway: &Gateway, path: &str, prefix: &str, count: usize) -> CallerResponse {
    let mut last = None;
    for number in 0..count {
        let headers = format!("x-id: {prefix}{number}\r\nx-size: 3\r\n");
        last = Some(call(gateway.callers, path, &headers, "").await);
    }
    last.unwrap()
}

/// Numbers of the events that a caller got.
fn events(answer: &CallerResponse) -> Vec<u64> {
    let lines = answer.text.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

const SERVICES: [(&str, &str, TargetMode); 3] = [
    ("app", "/once/1", TargetMode::Answer),
    ("app", "/read/1", TargetMode::Answer),
    ("pool", "/stream/1", TargetMode::Stream(3)),
];

// Guards against calls to an evacuated failure domain, against one that is not used again after the
// evacuation was taken back, and against callers that wait, or are told that their calls may have
// run, while all domains are evacuated.
#[tokio::test]
async fn evacuated_domains_get_no_calls_until_they_are_taken_back() {
    for (service, path, mode) in SERVICES {
        let (store, targets) = start_targets(service, mode).await;
        let gateway = Gateway::start_ready(&store).await;
        until("the targets are known", || target_count(&gateway) == 2).await;
        store.evacuate("balaju");
        until("the evacuation is known", || {
            is_evacuated(&gateway, "balaju")
        })
        .await;
        let answer = make_calls(&gateway, path, "a", 6).await;
        assert_eq!(answer.status, 200, "{path}");
        assert!(targets[1].calls().is_empty(), "{path}");
        store.evacuate("patan");
        until("both evacuations are known", || {
            is_evacuated(&gateway, "patan")
        })
        .await;
        let start = Instant::now();
        let refused = make_calls(&gateway, path, "b", 1).await;
        assert!(start.elapsed() < Duration::from_millis(500), "{path}");
        assert_eq!(refused.status, 503, "{path}");
        assert!(refused.text.contains("no_target"), "{}", refused.text);
        assert!(
            refused.text.contains("retry-after: 1\r\n"),
            "{}",
            refused.text
        );
        assert_eq!(targets[0].calls().len(), 6, "{path}");
        store.take_back("balaju");
        until("the evacuation is taken back", || {
            !is_evacuated(&gateway, "balaju")
        })
        .await;
        assert!(is_evacuated(&gateway, "patan"));
        assert_eq!(make_calls(&gateway, path, "c", 3).await.status, 200);
        assert_eq!(targets[1].calls().len(), 3, "{path}");
        store.evacuate("balaju");
        until("the second evacuation is known", || {
            is_evacuated(&gateway, "balaju")
        })
        .await;
        assert_eq!(make_calls(&gateway, path, "d", 1).await.status, 503);
    }
}

// Guards against an evacuated domain that keeps its generations until they end, and against
// generations that are lost because nothing else has room.
#[tokio::test]
async fn generations_move_off_an_evacuated_domain_or_end_there() {
    for has_room in [true, false] {
        let (store, targets) = start_targets("pool", TargetMode::Stream(EVENTS)).await;
        store.remove_target(&targets[0]);
        let gateway = Gateway::start_ready(&store).await;
        until("the engine is known", || target_count(&gateway) == 1).await;
        let callers = gateway.callers;
        let pending = tokio::spawn(async move {
            call(callers, "/stream/1", "x-id: g1\r\nx-size: 1000\r\n", "").await
        });
        until("the stream runs", || targets[1].open_calls() == 1).await;
        if has_room {
            store.put_in(&targets[0], "patan", 0);
            until("the other engine is known", || target_count(&gateway) == 2).await;
        }
        store.evacuate("balaju");
        let answer = pending.await.unwrap();
        assert_eq!(events(&answer), (1..=EVENTS).collect::<Vec<_>>());
        assert!(answer.text.ends_with("0\r\n\r\n"));
        assert_eq!(targets[0].calls().len(), usize::from(has_room));
        assert_eq!(targets[1].calls().len(), 1);
    }
}

// Guards against a node that can't read the store and goes on using a domain that its peers know to
// be evacuated, and against one that never learns that the evacuation was taken back.
#[tokio::test]
async fn a_node_without_the_store_learns_of_evacuations_from_a_peer() {
    let (store, targets) = start_targets("app", TargetMode::Answer).await;
    let first = Gateway::start_ready(&store).await;
    let down = FakeStore::new();
    down.is_down.store(true, Ordering::Relaxed);
    let second = Gateway::start(&down, "balaju", vec![first.peers]).await;
    second.wait_ready().await;
    until("the targets are known", || target_count(&second) == 2).await;
    store.evacuate("balaju");
    let start = Instant::now();
    until("the peer told it", || is_evacuated(&second, "balaju")).await;
    assert!(start.elapsed() < Duration::from_secs(2));
    make_calls(&second, "/once/1", "a", 5).await;
    assert!(targets[1].calls().is_empty());
    store.take_back("balaju");
    until("the peer told that too", || {
        !is_evacuated(&second, "balaju")
    })
    .await;
    sleep(Duration::from_millis(600)).await;
    assert!(!is_evacuated(&first, "balaju"));
    assert!(!is_evacuated(&second, "balaju"));
}
