//! Partitions between domains, inside a domain and from the platform, and the recovery after them.

mod support;

use base::{RevisionNumber, TimeSpan};
use member::{MemberAction, NodeState, PlatformEntry, PlatformState};
use support::FakeNetwork;
use yare::parameterized;

/// Most bytes per second that one node may send while views converge after a partition.
const MAX_HEAL_RATE: u64 = 3 * 1_024;

fn reachable(network: &FakeNetwork, at: usize, of: usize) -> bool {
    let view = network.nodes[at].table().node(&network.nodes[of].name);
    view.is_some_and(|view| view.domain_reachable)
}

/// Guards against a ticket that cannot be forwarded because the run of its issuer is unknown.
#[test]
fn any_node_knows_the_runs_of_other_domains() {
    let mut network = FakeNetwork::converged(5, 5, 130);
    assert!(network.views_converged());
    network.start(7);
    let run = network.nodes[7].table().incarnation();
    network.run(8_000);
    for at in 0..25 {
        let view = network.nodes[at]
            .table()
            .node(&network.nodes[7].name)
            .unwrap();
        assert_eq!((view.incarnation, view.state), (run, NodeState::Alive));
    }
    network.kill(7);
    network.run(15_000);
    assert_eq!(network.state(24, 7), NodeState::Dead);
}

/// Guards against a partition between domains that gets nodes declared dead, or that causes a burst
/// of traffic when it ends.
#[test]
fn partition_between_domains_makes_them_unreachable_but_declares_no_node_dead() {
    let mut network = FakeNetwork::converged(3, 5, 131);
    let near: Vec<usize> = (0..5).collect();
    let far: Vec<usize> = (5..15).collect();
    network.block_between(&near, &far);
    network.run(30_000);
    assert!((0..5).all(|at| !reachable(&network, at, 6) && reachable(&network, at, 1)));
    assert!((5..10).all(|at| !reachable(&network, at, 0) && reachable(&network, at, 11)));
    assert!((0..15).all(|of| network.count_reported(of, NodeState::Dead) == 0));
    network.start(6);
    network.run(30_000);
    network.blocked_links.clear();
    let before = network.sent_bytes();
    network.run(20_000);
    assert!(network.views_converged());
    assert!((0..15).all(|at| (0..15).all(|of| reachable(&network, at, of))));
    for (after, before) in network.sent_bytes().iter().zip(before) {
        assert!(after - before < MAX_HEAL_RATE * 20);
    }
}

/// Guards against halves of a domain that do not find each other after a partition, or that cause a
/// burst of traffic when they do.
#[parameterized(short = { 20_000 }, long = { 300_000 })]
fn halves_of_a_domain_converge_without_a_burst_of_traffic(partition: u64) {
    for seed in 132..135 {
        let mut network = FakeNetwork::converged(1, 26, seed);
        let left: Vec<usize> = (0..13).collect();
        let right: Vec<usize> = (13..26).collect();
        network.block_between(&left, &right);
        network.run(partition);
        assert!(
            left.iter()
                .all(|at| network.state(*at, 20) == NodeState::Dead)
        );
        assert!(
            left.iter()
                .all(|at| network.state(*at, 5) == NodeState::Alive)
        );
        network.blocked_links.clear();
        let before = network.sent_bytes();
        network.run(20_000);
        assert!(network.views_converged(), "seed {seed}");
        for (after, before) in network.sent_bytes().iter().zip(before) {
            assert!(
                after - before < MAX_HEAL_RATE * 20,
                "seed {seed}: {}",
                after - before
            );
        }
    }
}

/// Guards against an out-of-date platform list that overrides the results of probes.
#[test]
fn lagging_platform_list_does_not_override_probes() {
    let mut network = FakeNetwork::converged(1, 8, 136);
    network.kill(1);
    network.run(6_000);
    let list: Vec<PlatformEntry> = (0..8)
        .filter(|index| *index != 2)
        .map(|index| PlatformEntry {
            node: network.nodes[index].name.clone(),
            domain: None,
            address: None,
            state: if index == 3 {
                PlatformState::Leaving
            } else {
                PlatformState::Live
            },
        })
        .collect();
    for at in [0, 4, 5] {
        let lag = TimeSpan::from_secs(30);
        network.with_table(at, |table, now, actions| {
            table.on_platform_list(now, &list, lag, actions);
        });
        assert_eq!(network.state(at, 1), NodeState::Dead, "listed as live");
        assert_eq!(network.state(at, 2), NodeState::Alive, "not listed");
        assert_eq!(network.state(at, 3), NodeState::Alive, "listed as leaving");
    }
}

/// Guards against a node without a declaration that finds no peers.
#[test]
fn platform_list_makes_nodes_known_before_any_declaration() {
    let mut network = FakeNetwork::converged(1, 4, 137);
    network.start(3);
    network.with_table(3, |table, now, actions| {
        table.on_declared_nodes(now, &[], actions)
    });
    assert!(
        network.nodes[3]
            .table()
            .node(&network.nodes[0].name)
            .is_none()
    );
    let list: Vec<PlatformEntry> = (0..4)
        .map(|index| PlatformEntry {
            node: network.nodes[index].name.clone(),
            domain: Some(network.nodes[index].domain.clone()),
            address: Some("127.0.0.1:9000".parse().unwrap()),
            state: PlatformState::Live,
        })
        .collect();
    network.with_table(3, |table, now, actions| {
        table.on_platform_list(now, &list, TimeSpan::from_secs(30), actions);
    });
    assert_eq!(network.state(3, 0), NodeState::Alive);
    network.run(3_000);
    assert!(network.views_converged());
}

/// Guards against nodes of a domain without a platform that do not learn of a newer revision.
#[test]
fn newer_revision_is_seen_in_every_domain() {
    let mut network = FakeNetwork::converged(4, 4, 138);
    let revision = RevisionNumber::new(1, 9);
    let table = network.nodes[0].table.as_mut().unwrap();
    table.set_revision(revision, 5);
    let mut behind: Vec<usize> = (1..16).collect();
    // Each node fetches the declaration 100 ms after it learns of it.
    for _ in 0..100 {
        network.run(100);
        let is_missing =
            |action: &MemberAction| matches!(action, MemberAction::RevisionMissing { .. });
        for (_, by, action) in std::mem::take(&mut network.reported) {
            if is_missing(&action) && behind.contains(&by) {
                behind.retain(|at| *at != by);
                let table = network.nodes[by].table.as_mut().unwrap();
                table.set_revision(revision, 5);
            }
        }
    }
    assert_eq!(behind, Vec::<usize>::new());
    let domain = &network.nodes[4].domain;
    assert_eq!(
        network.nodes[0].table().domain_revision(domain),
        Some(revision)
    );
}

/// Guards against elections that change without need or keep a dead node elected.
#[test]
fn elected_nodes_are_stable_and_replaced_on_failure() {
    let mut network = FakeNetwork::converged(2, 8, 139);
    let domain = network.nodes[0].domain.clone();
    let target = "quill-1".parse().unwrap();
    let elect = |network: &FakeNetwork, at: usize| {
        let table = network.nodes[at].table();
        let readers = table.elect_platform_readers(&domain, 2);
        let issuer = table.grant_issuer(&domain, &target).unwrap();
        (
            readers,
            issuer,
            table.order_owner(&domain, &target).unwrap(),
        )
    };
    let first = elect(&network, 0);
    assert!((0..16).all(|at| elect(&network, at) == first));
    let index_of = |name| (0..8).find(|at| network.nodes[*at].name == name).unwrap();
    let killed = index_of(first.0[0].clone());
    network.kill(killed);
    network.run(20_000);
    let at = (killed + 1) % 8;
    let second = elect(&network, at);
    assert_eq!(second.0[0], first.0[1], "the other reader stays");
    assert!(second.0.iter().all(|name| *name != first.0[0]));
    assert_eq!(
        elect(&network, 12),
        second,
        "another domain elects the same"
    );
    network.start(killed);
    network.run(20_000);
    assert_eq!(elect(&network, at), first);
}

/// Guards against a VM that is listed as live but never answers, and is taken for alive again with
/// every list.
#[test]
fn listed_node_that_never_answers_stays_dead() {
    let mut network = FakeNetwork::new(1, 4, 140, Default::default());
    (0..3).for_each(|index| network.start(index));
    let list = vec![PlatformEntry {
        node: network.nodes[3].name.clone(),
        domain: None,
        address: None,
        state: PlatformState::Live,
    }];
    let deliver = |network: &mut FakeNetwork| {
        let lag = TimeSpan::from_secs(30);
        network.with_table(0, |table, now, actions| {
            table.on_platform_list(now, &list, lag, actions);
        });
    };
    deliver(&mut network);
    assert_eq!(network.state(0, 3), NodeState::Alive);
    network.run(8_000);
    assert_eq!(network.state(0, 3), NodeState::Dead);
    deliver(&mut network);
    assert_eq!(network.state(0, 3), NodeState::Dead);
}
