//! Nodes that place generations for their failure domain.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{ClockTime, CoreShare, TimeSpan};
use entry::ConfigVersion;
use facts::FactDigest;
use gateway::NodeDigest;
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

/// Whether a node asks another one for room on engines.
fn has_desk(gateway: &Gateway) -> bool {
    let core = gateway.server.core();
    core.with_state(|state, now| !state.is_desk(now))
}

fn accepted(gateway: &Gateway) -> usize {
    let core = gateway.server.core();
    core.with_state(|state, now| state.desk.accepted(now).len())
}

async fn generate(address: SocketAddr, id: &str) -> u16 {
    let headers = format!("x-id: {id}\r\nx-size: 10\r\n");
    call(address, "/stream/1", &headers, "").await.status
}

// Guards against nodes that choose engines by old loads although one of them knows them all.
#[tokio::test]
async fn one_node_places_for_the_other() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let (_store, first, second) = start_two(&target).await;
    until("one node has a desk", || {
        has_desk(&first) != has_desk(&second)
    })
    .await;
    let (desk, asker) = match has_desk(&first) {
        true => (&second, &first),
        false => (&first, &second),
    };
    assert_eq!(generate(asker.callers, "g1").await, 200);
    assert_eq!(accepted(asker), 1);
    assert_eq!(generate(desk.callers, "g2").await, 200);
    assert_eq!(accepted(desk), 0);
    let board_is_empty = || {
        let core = desk.server.core();
        core.with_state(|state, _| state.board.targets()[0].total().is_empty())
    };
    until("all room is given back", board_is_empty).await;
}

// Guards against calls that fail since the desk of their node stops.
#[tokio::test]
async fn a_stopping_desk_is_replaced() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let (_store, first, second) = start_two(&target).await;
    until("one node has a desk", || {
        has_desk(&first) != has_desk(&second)
    })
    .await;
    let (desk, asker) = match has_desk(&first) {
        true => (&second, &first),
        false => (&first, &second),
    };
    desk.server.core().close();
    assert_eq!(generate(asker.callers, "g1").await, 200);
    assert_eq!(accepted(asker), 0);
    assert!(!has_desk(asker));
}

// Guards against calls that wait for a desk that went silent: a node that was frozen, or whose
// connections were forgotten on the way.
#[tokio::test]
async fn a_silent_desk_is_passed_over() {
    let target = FakeTarget::start("pool", TargetMode::Stream(EVENTS)).await;
    let store = FakeStore::new();
    store.put_config(1);
    store.put_target(&target, "ready");
    let gateway = Gateway::start_ready(&store).await;
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
        loads: Vec::new(),
        domain_loads: None,
        finished_sources: Vec::new(),
        facts: FactDigest::default(),
        suspects: Vec::new(),
        addresses: Vec::new(),
    };
    let body = rmp_serde::to_vec(&digest).unwrap();
    assert_eq!(post(gateway.peers, "/peer/digest", &body).await.status, 200);
    until("the other is the desk", || has_desk(&gateway)).await;
    assert_eq!(generate(gateway.callers, "g1").await, 200);
    assert!(!has_desk(&gateway));
}
