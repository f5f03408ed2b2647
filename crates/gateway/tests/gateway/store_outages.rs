//! Removals of targets around outages of the store: expired leases, and targets that left.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use entry::TargetPhase;
use tokio::time::{Instant, sleep};

use crate::support::{FakeStore, FakeTarget, Gateway, LostResponses, TargetMode, until};

/// Time after its removal at which a target must get no more work.
const DRAIN: Duration = Duration::from_secs(2);
/// Targets that are removed one after the other; less than half of all, so that their number alone
/// raises no doubt.
const REMOVED: usize = 5;
/// All targets.
const TARGETS: usize = 12;

const DOMAINS: [&str; 4] = ["patan", "balaju", "boudha", "kirtipur"];

/// A node in each failure domain, which all read one store, and targets.
struct Fleet {
    store: Arc<FakeStore>,
    nodes: Vec<(&'static str, Gateway)>,
    targets: Vec<FakeTarget>,
}

impl Fleet {
    async fn start() -> Self {
        let store = FakeStore::new();
        store.put_config(1);
        let mut targets = Vec::new();
        for _ in 0..TARGETS {
            let target = FakeTarget::start("app", TargetMode::Answer).await;
            store.put_target(&target, "ready");
            targets.push(target);
        }
        let mut nodes: Vec<(&str, Gateway)> = Vec::new();
        for domain in DOMAINS {
            let seeds = nodes.iter().map(|(_, node)| node.peers).take(1).collect();
            nodes.push((domain, Gateway::start(&store, domain, seeds).await));
        }
        let fleet = Self {
            store,
            nodes,
            targets,
        };
        until("two nodes read the targets for all", || {
            let peers = |node: &Gateway| {
                let core = node.server.core();
                core.with_state(|state, now| state.peers.alive(now).len())
            };
            let mut nodes = fleet.nodes.iter();
            nodes.all(|(_, node)| peers(node) == DOMAINS.len() - 1 && phases(node).len() == TARGETS)
        })
        .await;
        // Confirmations of the targets have gone round.
        sleep(Duration::from_millis(1_500)).await;
        fleet
    }

    /// Failure domains whose nodes read the targets for all.
    fn reading_domains(&self) -> Vec<&'static str> {
        let is_reader = |node: &Gateway| {
            let core = node.server.core();
            core.with_state(|state, now| state.is_target_reader(now))
        };
        let readers = self.nodes.iter().filter(|(_, node)| is_reader(node));
        readers.map(|(domain, _)| *domain).collect()
    }

    /// Removes targets one after the other, and checks that the nodes of `domains` take each for gone
    /// in time and doubt none.
    async fn check_removals(&self, domains: &[&str]) {
        let judged = || {
            let nodes = self.nodes.iter();
            nodes.filter(|(domain, _)| domains.contains(domain))
        };
        for target in &self.targets[..REMOVED] {
            self.store.remove_target(target);
            let removed_at = Instant::now();
            while judged().any(|(_, node)| phase(node, target) == Some(TargetPhase::Ready)) {
                assert!(removed_at.elapsed() < DRAIN, "not removed in time");
                sleep(Duration::from_millis(5)).await;
            }
            for (domain, node) in judged() {
                let phase = phase(node, target);
                assert!(
                    matches!(phase, None | Some(TargetPhase::Leaving)),
                    "{domain}: {phase:?}"
                );
            }
        }
    }
}

fn phases(node: &Gateway) -> Vec<TargetPhase> {
    let core = node.server.core();
    core.with_state(|state, _| {
        let targets = state.balancer.targets().iter();
        targets.map(|target| target.phase).collect()
    })
}

fn phase(node: &Gateway, target: &FakeTarget) -> Option<TargetPhase> {
    let core = node.server.core();
    let name = target.name.parse().unwrap();
    core.with_state(|state, _| state.balancer.target(&name).map(|target| target.phase))
}

fn is_store_lost(node: &Gateway) -> bool {
    let core = node.server.core();
    core.with_state(|state, _| state.view.guard.is_store_lost())
}

// Guards against calls to targets that left, because the end of a cut between one node and the store
// counts as the end of an outage for all nodes.
#[tokio::test]
async fn a_node_that_was_cut_off_from_the_store_raises_no_doubt() {
    let fleet = Fleet::start().await;
    let cut = fleet.reading_domains()[0];
    let (_, node) = fleet
        .nodes
        .iter()
        .find(|(domain, _)| *domain == cut)
        .unwrap();
    fleet.store.lose_in(&[cut], LostResponses::All);
    until("the node has lost the store", || is_store_lost(node)).await;
    fleet.store.lose(LostResponses::None);
    // Its first response arrives, and all peers hear of it.
    sleep(Duration::from_millis(1_800)).await;
    let others: Vec<_> = DOMAINS
        .into_iter()
        .filter(|domain| *domain != cut)
        .collect();
    fleet.check_removals(&others).await;
}

// The same with a node that had failed in an outage and has not read since, as others did for it.
#[tokio::test]
async fn a_node_that_reads_long_after_an_outage_raises_no_doubt() {
    let fleet = Fleet::start().await;
    fleet.store.is_down.store(true, Ordering::Relaxed);
    until("all nodes have lost the store", || {
        fleet.nodes.iter().all(|(_, node)| is_store_lost(node))
    })
    .await;
    // By now, the nodes that do not read for all ask every 1.6 s, so that the readers are answered first.
    sleep(Duration::from_millis(2_900)).await;
    fleet.store.is_down.store(false, Ordering::Relaxed);
    // Time for the targets to come back, and for another one to be in touch again.
    sleep(Duration::from_secs(4)).await;
    let readers = fleet.reading_domains();
    fleet.store.lose_in(&readers, LostResponses::All);
    // The others read for themselves.
    sleep(Duration::from_millis(1_800)).await;
    let mut others = DOMAINS.to_vec();
    others.retain(|domain| !readers.contains(domain));
    fleet.check_removals(&others).await;
}

// Guards against a fleet without targets, whose leases expired during an outage of the store; they come
// back 1.5 s after it.
#[tokio::test]
async fn targets_whose_leases_expired_in_an_outage_are_kept() {
    let fleet = Fleet::start().await;
    fleet.store.is_down.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(3)).await;
    for target in &fleet.targets[..REMOVED] {
        fleet.store.remove_target(target);
    }
    fleet.store.is_down.store(false, Ordering::Relaxed);
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        for (domain, node) in &fleet.nodes {
            let left = phases(node)
                .iter()
                .filter(|phase| **phase == TargetPhase::Leaving)
                .count();
            assert_eq!((left, phases(node).len()), (0, TARGETS), "{domain}");
        }
        sleep(Duration::from_millis(20)).await;
    }
    for target in &fleet.targets[..REMOVED] {
        fleet.store.put_target(target, "ready");
    }
    until("all targets are back", || {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|(_, node)| {
            phases(node)
                .iter()
                .all(|phase| *phase == TargetPhase::Ready)
        })
    })
    .await;
}
