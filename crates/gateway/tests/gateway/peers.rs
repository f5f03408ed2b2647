//! Messages between nodes: published items, loads and addresses that they learn from peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::support::{
    FakeStore, FakeTarget, Gateway, TargetMode, call, get, post, start_setup, until,
};
use base::TimeSpan;
use entry::{ConfigVersion, StoreEra, TargetLoad};
use gateway::{ItemUpdate, NodeDigest, encode_extended};

fn version(gateway: &Gateway) -> ConfigVersion {
    let core = gateway.server.core();
    core.with_state(|state, _| state.view.version())
}

fn target_count(gateway: &Gateway) -> usize {
    let core = gateway.server.core();
    core.with_state(|state, _| state.balancer.targets().len())
}

/// Starts two nodes of one failure domain: the first reads the store, the second has a store that
/// is down.
async fn start_pair() -> (Arc<FakeStore>, Arc<FakeStore>, Gateway, Gateway) {
    let store = FakeStore::new();
    store.put_config(3);
    let down = FakeStore::new();
    down.is_down.store(true, Ordering::Relaxed);
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&down, "patan", vec![first.peers]).await;
    (store, down, first, second)
}

// Guards against a node that can't reach the store and therefore serves nothing, although its peers
// know the published items.
#[tokio::test]
async fn a_node_without_the_store_gets_items_from_peers() {
    let (store, _down, _first, second) = start_pair().await;
    second.wait_ready().await;
    assert_eq!(version(&second), ConfigVersion(3));
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    store.put_target(&target, "ready");
    until("the target is known", || target_count(&second) == 1).await;
    let answer = call(second.callers, "/once/1", "x-id: a1\r\n", "").await;
    assert_eq!(answer.status, 200);
    store.put_config(5);
    until("the change is in force", || {
        version(&second) == ConfigVersion(5)
    })
    .await;
}

// Guards against a return to an older configuration, when a stale store or peer is read.
#[tokio::test]
async fn an_older_configuration_is_not_adopted() {
    let (store, down, _first, second) = start_pair().await;
    second.wait_ready().await;
    store.put_config(7);
    until("the change is in force", || {
        version(&second) == ConfigVersion(7)
    })
    .await;
    down.put_config(2);
    down.is_down.store(false, Ordering::Relaxed);
    // A second read begins only after the response to the first was applied.
    until("the stale store was read", || {
        down.config_reads.load(Ordering::Relaxed) > 1
    })
    .await;
    assert_eq!(version(&second), ConfigVersion(7));
}

// Guards against a target that stays in use for good: a peer that skipped changes sends those that suit an
// older copy, and does not know what was added and removed in between.
#[tokio::test]
async fn changes_for_an_older_copy_are_refused_if_the_sender_skipped_some() {
    let (_store, _targets, gateway) = start_setup("app", &[TargetMode::Answer]).await;
    let revision = || {
        let core = gateway.server.core();
        core.with_state(|state, _| state.view.target_items.revision().unwrap())
    };
    let known = revision();
    let mut update = ItemUpdate {
        address: "127.0.0.1:9".parse().unwrap(),
        base: Some(known - 1),
        revision: known + 10,
        changes: Vec::new(),
        era: StoreEra::default(),
        is_exact: true,
        age: TimeSpan::ZERO,
        answers: None,
    };
    let send = async |update: ItemUpdate| {
        let body = encode_extended(update).unwrap();
        post(gateway.peers, "/peer/changes", &body).await.status
    };
    assert_eq!(send(update.clone()).await, 200);
    assert_eq!(revision(), known);
    update.base = Some(known);
    assert_eq!(send(update).await, 200);
    assert_eq!(revision(), known + 10);
}

/// Starts nodes of one failure domain, each with a store of its own that holds the same items.
async fn start_domain(count: usize) -> Vec<(Arc<FakeStore>, Gateway)> {
    let mut nodes: Vec<(Arc<FakeStore>, Gateway)> = Vec::new();
    for _ in 0..count {
        let store = FakeStore::new();
        store.put_config(1);
        let seeds = nodes.iter().map(|(_, node)| node.peers).take(1).collect();
        let node = Gateway::start(&store, "patan", seeds).await;
        nodes.push((store, node));
    }
    for (_, node) in &nodes {
        node.wait_ready().await;
    }
    nodes
}

fn is_reader(gateway: &Gateway) -> bool {
    let core = gateway.server.core();
    core.with_state(|state, now| state.is_target_reader(now))
}

/// Waits until all nodes know each other and two of them read the targets from the store; before
/// that, the number of readers varies.
async fn wait_settled(nodes: &[(Arc<FakeStore>, Gateway)]) {
    let peers = |gateway: &Gateway| {
        let core = gateway.server.core();
        core.with_state(|state, now| state.peers.alive(now).len())
    };
    until("all nodes know each other", || {
        nodes.iter().all(|(_, node)| peers(node) == nodes.len() - 1)
    })
    .await;
    until("two nodes read the targets", || {
        nodes.iter().filter(|(_, node)| is_reader(node)).count() == 2
    })
    .await;
}

// Guards against a number of requests to the store that grows with the nodes of a failure domain.
#[tokio::test]
async fn two_nodes_of_a_domain_read_the_targets() {
    let nodes = start_domain(5).await;
    wait_settled(&nodes).await;
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    for (store, _) in &nodes {
        store.put_target(&target, "ready");
    }
    until("all know the target", || {
        nodes.iter().all(|(_, node)| target_count(node) == 1)
    })
    .await;
}

// Guards against a failure domain that goes on using targets that left, because the nodes that read
// the store for it lost the store. Users allow two seconds from the publication of a change.
#[tokio::test]
async fn readers_without_the_store_are_replaced() {
    let nodes = start_domain(3).await;
    wait_settled(&nodes).await;
    for (store, _) in nodes.iter().filter(|(_, node)| is_reader(node)) {
        store.is_down.store(true, Ordering::Relaxed);
    }
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    for (store, _) in &nodes {
        store.put_target(&target, "ready");
    }
    let published_at = Instant::now();
    until("all know the target", || {
        nodes.iter().all(|(_, node)| target_count(node) == 1)
    })
    .await;
    assert!(published_at.elapsed() < Duration::from_secs(2));
}

// Guards against overloaded engines, which result if nodes do not know the load of each other's
// calls.
#[tokio::test]
async fn peers_receive_loads_of_calls_in_flight() {
    let store = FakeStore::new();
    store.put_config(1);
    let target = FakeTarget::start("app", TargetMode::Hang).await;
    store.put_target(&target, "ready");
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    let callers = first.callers;
    let pending =
        tokio::spawn(async move { call(callers, "/once/1", "x-id: a1\r\n", "").await.status });
    let peer_load = || {
        let core = second.server.core();
        core.with_state(|state, _| state.balancer.targets()[0].peer_load)
    };
    until("the peer knows the load of the call", || {
        peer_load().calls == 1
    })
    .await;
    pending.abort();
    until("the peer knows that the call ended", || {
        peer_load() == TargetLoad::default()
    })
    .await;
}

// Guards against the choice of engines by loads that are a quarter of a second old: most changes of
// load have to reach a peer sooner than the gossip rounds would bring them.
#[tokio::test]
async fn peers_receive_loads_of_generations_at_once() {
    const BOUND: Duration = Duration::from_millis(80);
    let (store, _targets, first) = start_setup("pool", &[TargetMode::Hang]).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    let peer_calls = || {
        let core = second.server.core();
        core.with_state(|state, _| state.balancer.targets()[0].peer_load.calls)
    };
    let own_calls = || {
        let core = first.server.core();
        core.with_state(|state, _| state.balancer.targets()[0].own_load.calls)
    };
    until("the nodes know each other", || {
        let core = first.server.core();
        core.with_state(|state, now| !state.peers.alive(now).is_empty())
    })
    .await;
    let mut in_time = 0;
    for count in 1..=8 {
        let callers = first.callers;
        let headers = format!("x-id: g{count}\r\nx-size: 10\r\n");
        tokio::spawn(async move { call(callers, "/stream/1", &headers, "").await });
        until("the generation is sent", || own_calls() == count).await;
        let sent_at = Instant::now();
        until("the peer knows its load", || peer_calls() == count).await;
        in_time += u32::from(sent_at.elapsed() < BOUND);
    }
    assert!(in_time >= 6, "{in_time} of 8 load changes arrived in time");
}

// Guards against releases that fill the links of nodes with whole lists of targets: the update
// about one changed target must not grow with the fleet.
#[tokio::test]
async fn an_update_contains_only_changed_targets() {
    const TARGETS: usize = 120;
    const UPDATE_BYTES: usize = 1_024;
    let store = FakeStore::new();
    store.put_config(1);
    for _ in 0..TARGETS {
        let target = FakeTarget::start("app", TargetMode::Answer).await;
        store.put_target(&target, "ready");
    }
    let first = Gateway::start_ready(&store).await;
    let revision = || {
        let core = first.server.core();
        core.with_state(|state, _| state.view.target_items.revision().unwrap())
    };
    until("the targets are known", || target_count(&first) == TARGETS).await;
    let known = revision();
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    store.put_target(&target, "ready");
    until("both know the target", || {
        target_count(&first) > TARGETS && target_count(&second) > TARGETS
    })
    .await;
    let update = get(first.peers, &format!("/peer/targets?after={known}")).await;
    assert!(update.text.contains(&target.name));
    assert!(
        update.text.len() < UPDATE_BYTES,
        "{} bytes",
        update.text.len()
    );
    let all = get(first.peers, "/peer/targets").await;
    assert!(all.text.len() > TARGETS * 30);
}

// Guards against nodes of large fleets that do not find the coordinator of their failure domain,
// which results if digests name other nodes in the order of their addresses.
#[tokio::test]
async fn nodes_find_their_domain_in_a_large_fleet() {
    const DOMAINS: [&str; 3] = ["patan", "balaju", "boudha"];
    const NODES: usize = 9;
    let store = FakeStore::new();
    store.put_config(1);
    let first = Gateway::start(&store, DOMAINS[0], Vec::new()).await;
    let mut nodes = Vec::new();
    for at in 1..NODES * DOMAINS.len() {
        let domain = DOMAINS[at % DOMAINS.len()];
        nodes.push(Gateway::start(&store, domain, vec![first.peers]).await);
    }
    nodes.push(first);
    let coordinator_count = || {
        let mut coordinators: Vec<_> = nodes.iter().map(coordinator_of).collect();
        coordinators.sort();
        coordinators.dedup();
        coordinators.len()
    };
    let knows_domain = |gateway: &Gateway| {
        let core = gateway.server.core();
        let domain = &core.settings.domain;
        core.with_state(|state, _| state.peers.known_in(domain).len()) == NODES - 1
    };
    until("all know their domain", || nodes.iter().all(knows_domain)).await;
    until("each domain has one coordinator", || {
        coordinator_count() == DOMAINS.len()
    })
    .await;
    let receiver = DOMAINS[2].parse().unwrap();
    let named_of_receiver = || {
        let named =
            NodeDigest::new(nodes[0].server.core(), nodes[0].peers, Some(&receiver)).addresses;
        let of_receiver = nodes.iter().filter(|node| {
            node.server.core().settings.domain == receiver && named.contains(&node.peers)
        });
        of_receiver.count()
    };
    // The first node hears of the nodes of another domain some time after those of its own.
    until("a digest names the domain of its receiver", || {
        named_of_receiver() >= NODES - 1
    })
    .await;
}

fn coordinator_of(gateway: &Gateway) -> std::net::SocketAddr {
    let core = gateway.server.core();
    core.with_state(|state, now| state.coordinator_ranking(now)[0])
}
