//! What nodes do for one another.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::support::{FakeStore, FakeTarget, Gateway, TargetMode, call, get, start_scene, until};
use entry::{ConfigVersion, TargetLoad};
use gateway::NodeDigest;

fn version(gateway: &Gateway) -> ConfigVersion {
    let core = gateway.server.core();
    core.with_state(|state, _| state.view.version())
}

fn target_count(gateway: &Gateway) -> usize {
    let core = gateway.server.core();
    core.with_state(|state, _| state.board.targets().len())
}

/// A store with the same items that only some nodes reach.
async fn start_pair() -> (Arc<FakeStore>, Arc<FakeStore>, Gateway, Gateway) {
    let store = FakeStore::new();
    store.put_config(3);
    let cut = FakeStore::new();
    cut.is_down.store(true, Ordering::Relaxed);
    let first = Gateway::start_ready(&store).await;
    let second = Gateway::start(&cut, "patan", vec![first.peers]).await;
    (store, cut, first, second)
}

// Guards against a node that the store turns away while its peers know what is in force.
#[tokio::test]
async fn a_node_without_the_store_takes_items_from_peers() {
    let (store, _cut, _first, second) = start_pair().await;
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

// Guards against a store or peer that brings back an older configuration.
#[tokio::test]
async fn an_older_configuration_never_returns() {
    let (store, cut, _first, second) = start_pair().await;
    second.wait_ready().await;
    store.put_config(7);
    until("the change is in force", || {
        version(&second) == ConfigVersion(7)
    })
    .await;
    cut.put_config(2);
    cut.is_down.store(false, Ordering::Relaxed);
    // A second read begins only after the answer to the first was taken.
    until("the stale store was read", || {
        cut.config_reads.load(Ordering::Relaxed) > 1
    })
    .await;
    assert_eq!(version(&second), ConfigVersion(7));
}

/// Nodes of one domain, each with a store of its own that holds the same items.
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

/// Waits until all nodes hear one another, as other numbers of readers are seen before.
async fn settle(nodes: &[(Arc<FakeStore>, Gateway)]) {
    let peers = |gateway: &Gateway| {
        let core = gateway.server.core();
        core.with_state(|state, now| state.peers.alive(now).len())
    };
    until("all nodes know each other", || {
        nodes.iter().all(|(_, node)| peers(node) == nodes.len() - 1)
    })
    .await;
    until("two nodes read", || {
        nodes.iter().filter(|(_, node)| is_reader(node)).count() == 2
    })
    .await;
}

// Guards against calls to the store that grow with the nodes of a domain.
#[tokio::test]
async fn two_nodes_of_a_domain_read_the_targets() {
    let nodes = start_domain(5).await;
    settle(&nodes).await;
    let target = FakeTarget::start("app", TargetMode::Answer).await;
    for (store, _) in &nodes {
        store.put_target(&target, "ready");
    }
    until("all know the target", || {
        nodes.iter().all(|(_, node)| target_count(node) == 1)
    })
    .await;
}

// Guards against a domain that goes on using targets that left, since its readers lost the store:
// the users allow two seconds from the store's word.
#[tokio::test]
async fn readers_without_the_store_are_replaced() {
    let nodes = start_domain(3).await;
    settle(&nodes).await;
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

// Guards against engines that are overfilled since nodes do not see each other's calls.
#[tokio::test]
async fn peers_hear_of_calls_in_flight() {
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
    let heard = || {
        let core = second.server.core();
        core.with_state(|state, _| state.board.targets()[0].peer_load)
    };
    until("the call is heard of", || heard().calls == 1).await;
    pending.abort();
    until("its end is heard of", || heard() == TargetLoad::default()).await;
}

// Guards against nodes that choose engines by loads of a quarter of a second ago: most changes are
// heard sooner than rounds of digests would tell them.
#[tokio::test]
async fn peers_hear_at_once_of_generations() {
    const BOUND: Duration = Duration::from_millis(80);
    let (store, _targets, first) = start_scene("pool", &[TargetMode::Hang]).await;
    let second = Gateway::start(&store, "patan", vec![first.peers]).await;
    second.wait_ready().await;
    let heard = || {
        let core = second.server.core();
        core.with_state(|state, _| state.board.targets()[0].peer_load.calls)
    };
    let sent = || {
        let core = first.server.core();
        core.with_state(|state, _| state.board.targets()[0].own_load.calls)
    };
    until("the nodes know each other", || {
        let core = first.server.core();
        core.with_state(|state, now| !state.peers.alive(now).is_empty())
    })
    .await;
    let mut soon = 0;
    for count in 1..=8 {
        let callers = first.callers;
        let headers = format!("x-id: g{count}\r\nx-size: 10\r\n");
        tokio::spawn(async move { call(callers, "/stream/1", &headers, "").await });
        until("the generation is sent", || sent() == count).await;
        let sent_at = Instant::now();
        until("it is heard of", || heard() == count).await;
        soon += u32::from(sent_at.elapsed() < BOUND);
    }
    assert!(soon >= 6, "{soon} of 8 were heard of at once");
}

// Guards against releases that fill the links of nodes with whole lists of targets: what a node
// tells of one change does not grow with the fleet.
#[tokio::test]
async fn a_change_is_told_without_the_other_targets() {
    const TARGETS: usize = 120;
    const NEWS_BYTES: usize = 1_024;
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
    let news = get(first.peers, &format!("/peer/targets?after={known}")).await;
    assert!(news.text.contains(&target.name));
    assert!(news.text.len() < NEWS_BYTES, "{} bytes", news.text.len());
    let all = get(first.peers, "/peer/targets").await;
    assert!(all.text.len() > TARGETS * 30);
}

// Guards against large fleets whose nodes do not find the desk of their domain, since nodes name
// others by the order of their addresses.
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
    let desks_seen = || {
        let mut desks: Vec<_> = nodes.iter().map(desk_of).collect();
        desks.sort();
        desks.dedup();
        desks.len()
    };
    let all_near = |gateway: &Gateway| {
        let core = gateway.server.core();
        let domain = &core.settings.domain;
        core.with_state(|state, _| state.peers.known_in(domain).len()) == NODES - 1
    };
    until("all know their domain", || nodes.iter().all(all_near)).await;
    until("each domain has one desk", || desks_seen() == DOMAINS.len()).await;
    let receiver = DOMAINS[2].parse().unwrap();
    let told = NodeDigest::new(nodes[0].server.core(), Some(&receiver)).addresses;
    let of_receiver = nodes.iter().filter(|node| {
        node.server.core().settings.domain == receiver && told.contains(&node.peers)
    });
    assert!(of_receiver.count() >= NODES - 1);
}

fn desk_of(gateway: &Gateway) -> std::net::SocketAddr {
    let core = gateway.server.core();
    core.with_state(|state, now| state.desks(now)[0])
}
