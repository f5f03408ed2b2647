//! Placement of generations by the coordinator of a failure domain.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, CoreShare, TimeSpan};
use entry::{ConfigVersion, StoreEra};
use facts::FactDigest;
use gateway::{NodeDigest, StopPlan};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, call, post, until};

const EVENTS: u64 = 5;

async fn start_two(target: &FakeTarget) -> (Arc<FakeStore>, Gateway, Gateway) {
    let store = FakeStore::new();
    store.put_config(1);
    store.put_target(target, "ready");
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    (store, first, second)
}

/// Whether another node is the coordinator that places the generations of a node.
pub fn has_other_coordinator(gateway: &Gateway) -> bool {
    let core = gateway.server.core();
    core.with_state(|state, now| !state.is_coordinator(now))
}

/// Number of grants of its coordinator that a node accepted lately.
fn accepted_count(gateway: &Gateway) -> usize {
    let core = gateway.server.core();
    core.with_state(|state, now| state.coordinator.accepted_grants(now).len())
}

async fn generate(address: SocketAddr, id: &str) -> u16 {
    let headers = format!("x-id: {id}\r\nx-size: 10\r\n");
    call(address, "/stream/1", &headers, "").await.status
}

// Guards against nodes that choose engines by outdated load reports although one of them, the
// coordinator, knows the current load of all.
#[tokio::test]
async fn the_coordinator_places_generations_of_the_other_node() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let (_store, first, second) = start_two(&target).await;
    until("one node has another one as its coordinator", || {
        has_other_coordinator(&first) != has_other_coordinator(&second)
    })
    .await;
    let (coordinator, follower) = match has_other_coordinator(&first) {
        true => (&second, &first),
        false => (&first, &second),
    };
    assert_eq!(generate(follower.callers, "g1").await, 200);
    assert_eq!(accepted_count(follower), 1);
    assert_eq!(generate(coordinator.callers, "g2").await, 200);
    assert_eq!(accepted_count(coordinator), 0);
    let is_load_removed = || {
        let core = coordinator.server.core();
        core.with_state(|state, _| state.balancer.targets()[0].total().is_empty())
    };
    until("all load is removed", is_load_removed).await;
}

// Guards against calls that fail because the coordinator of their node stops.
#[tokio::test]
async fn a_stopping_coordinator_is_replaced() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let (_store, first, second) = start_two(&target).await;
    until("one node has another one as its coordinator", || {
        has_other_coordinator(&first) != has_other_coordinator(&second)
    })
    .await;
    let (coordinator, follower) = match has_other_coordinator(&first) {
        true => (&second, &first),
        false => (&first, &second),
    };
    let core = coordinator.server.core();
    core.begin_stop(StopPlan::new(core.now(), TimeSpan::from_secs(8)));
    assert_eq!(generate(follower.callers, "g1").await, 200);
    assert_eq!(accepted_count(follower), 0);
    assert!(!has_other_coordinator(follower));
}

/// Lets a gateway take a node for its coordinator that accepts connections but does not respond.
pub async fn add_silent_coordinator(gateway: &Gateway) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = [0; 1_024];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
            });
        }
    });
    let digest = NodeDigest {
        node: "silent".parse().unwrap(),
        address,
        sent_at: ClockTime::new(1_000),
        version: ConfigVersion(1),
        targets_revision: 1,
        domain: "patan".parse().unwrap(),
        capacity: CoreShare(4_000),
        is_waiting: false,
        is_stopping: false,
        targets_age: Some(TimeSpan::ZERO),
        regained_age: None,
        targets_era: StoreEra::default(),
        facts_incomplete: None,
        answers: None,
        lost_services: None,
        refusals: Vec::new(),
        loads: Vec::new(),
        domain_loads: None,
        finished_sources: Vec::new(),
        facts: FactDigest::default(),
        suspects: Vec::new(),
        addresses: Vec::new(),
        domain_nodes: None,
        domain_peaks: Vec::new(),
        evacuations: Vec::new(),
        domain_paces: Vec::new(),
    };
    let body = rmp_serde::to_vec(&digest).unwrap();
    assert_eq!(post(gateway.peers, "/peer/digest", &body).await.status, 200);
    until("the silent node is the coordinator", || {
        has_other_coordinator(gateway)
    })
    .await;
}

// Guards against calls that wait for a coordinator that accepts connections but does not respond: a
// node that froze, or whose connections a device on the way dropped without notice.
#[tokio::test]
async fn a_coordinator_that_does_not_respond_is_replaced() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let store = FakeStore::new();
    store.put_config(1);
    store.put_target(&target, "ready");
    let gateway = Gateway::start_ready(&store).await;
    add_silent_coordinator(&gateway).await;
    assert_eq!(generate(gateway.callers, "g1").await, 200);
    assert!(!has_other_coordinator(&gateway));
}
