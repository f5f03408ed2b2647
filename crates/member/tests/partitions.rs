//! Cuts between domains, inside a domain and from the platform, and what follows them.

mod support;

use base::{RevisionNumber, TimeSpan};
use member::{MemberAction, NodeState, PlatformEntry, PlatformState};
use support::FakeNetwork;
use yare::parameterized;

/// Bytes a second that one node may send while views merge.
const HEAL_RATE: u64 = 3 * 1_024;

fn reachable(network: &FakeNetwork, at: usize, of: usize) -> bool {
    let view = network.nodes[at].table().node(&network.nodes[of].name);
    view.is_some_and(|view| view.domain_reachable)
}

/// Guards against a ticket that cannot be forwarded, as its issuer's run is not known.
#[test]
fn any_node_knows_the_runs_of_other_domains() {
    let mut network = FakeNetwork::settled(5, 5, 130);
    assert!(network.agrees());
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

/// Guards against a cut that looks like the death of nodes, or that heals with a storm.
#[test]
fn cut_between_domains_loses_reach_but_declares_nobody_dead() {
    let mut network = FakeNetwork::settled(3, 5, 131);
    let near: Vec<usize> = (0..5).collect();
    let far: Vec<usize> = (5..15).collect();
    network.cut(&near, &far);
    network.run(30_000);
    assert!((0..5).all(|at| !reachable(&network, at, 6) && reachable(&network, at, 1)));
    assert!((5..10).all(|at| !reachable(&network, at, 0) && reachable(&network, at, 11)));
    assert!((0..15).all(|of| network.count_told(of, NodeState::Dead) == 0));
    network.start(6);
    network.run(30_000);
    network.cuts.clear();
    let before = network.sent_bytes();
    network.run(20_000);
    assert!(network.agrees());
    assert!((0..15).all(|at| (0..15).all(|of| reachable(&network, at, of))));
    for (after, before) in network.sent_bytes().iter().zip(before) {
        assert!(after - before < HEAL_RATE * 20);
    }
}

/// Guards against halves of a domain that never meet again, or that meet with a storm.
#[parameterized(short = { 20_000 }, long = { 300_000 })]
fn halves_of_a_domain_work_and_merge_without_a_storm(cut: u64) {
    for seed in 132..135 {
        let mut network = FakeNetwork::settled(1, 26, seed);
        let left: Vec<usize> = (0..13).collect();
        let right: Vec<usize> = (13..26).collect();
        network.cut(&left, &right);
        network.run(cut);
        assert!(
            left.iter()
                .all(|at| network.state(*at, 20) == NodeState::Dead)
        );
        assert!(
            left.iter()
                .all(|at| network.state(*at, 5) == NodeState::Alive)
        );
        network.cuts.clear();
        let before = network.sent_bytes();
        network.run(20_000);
        assert!(network.agrees(), "seed {seed}");
        for (after, before) in network.sent_bytes().iter().zip(before) {
            assert!(
                after - before < HEAL_RATE * 20,
                "seed {seed}: {}",
                after - before
            );
        }
    }
}

/// Guards against the platform's lagging list overriding what probes found out.
#[test]
fn lagging_platform_list_does_not_override_probes() {
    let mut network = FakeNetwork::settled(1, 8, 136);
    network.kill(1);
    network.run(6_000);
    let list: Vec<PlatformEntry> = (0..8)
        .filter(|place| *place != 2)
        .map(|place| PlatformEntry {
            node: network.nodes[place].name.clone(),
            domain: None,
            address: None,
            state: if place == 3 {
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
    let mut network = FakeNetwork::settled(1, 4, 137);
    network.start(3);
    network.with_table(3, |table, now, actions| {
        table.on_declared(now, &[], actions)
    });
    assert!(
        network.nodes[3]
            .table()
            .node(&network.nodes[0].name)
            .is_none()
    );
    let list: Vec<PlatformEntry> = (0..4)
        .map(|place| PlatformEntry {
            node: network.nodes[place].name.clone(),
            domain: Some(network.nodes[place].domain.clone()),
            address: Some("127.0.0.1:9000".parse().unwrap()),
            state: PlatformState::Live,
        })
        .collect();
    network.with_table(3, |table, now, actions| {
        table.on_platform_list(now, &list, TimeSpan::from_secs(30), actions);
    });
    assert_eq!(network.state(3, 0), NodeState::Alive);
    network.run(3_000);
    assert!(network.agrees());
}

/// Guards against a domain without a platform whose nodes stay behind its peers' revision.
#[test]
fn newer_revision_is_seen_in_every_domain() {
    let mut network = FakeNetwork::settled(4, 4, 138);
    let revision = RevisionNumber::new(1, 9);
    let table = network.nodes[0].table.as_mut().unwrap();
    table.set_revision(revision, 5);
    let mut behind: Vec<usize> = (1..16).collect();
    // Each node pulls the declaration 100 ms after it hears of it.
    for _ in 0..100 {
        network.run(100);
        let seen = |action: &MemberAction| matches!(action, MemberAction::RevisionSeen { .. });
        for (_, by, action) in std::mem::take(&mut network.told) {
            if seen(&action) && behind.contains(&by) {
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

/// Guards against elections that move without need or stick to the dead.
#[test]
fn offices_are_stable_and_replaced_on_failure() {
    let mut network = FakeNetwork::settled(2, 8, 139);
    let domain = network.nodes[0].domain.clone();
    let target = "quill-1".parse().unwrap();
    let elect = |network: &FakeNetwork, at: usize| {
        let table = network.nodes[at].table();
        let readers = table.elect_readers(&domain, 2);
        let holder = table.grant_holder(&domain, &target).unwrap();
        (
            readers,
            holder,
            table.order_owner(&domain, &target).unwrap(),
        )
    };
    let first = elect(&network, 0);
    assert!((0..16).all(|at| elect(&network, at) == first));
    let place = |name| (0..8).find(|at| network.nodes[*at].name == name).unwrap();
    let gone = place(first.0[0].clone());
    network.kill(gone);
    network.run(20_000);
    let at = (gone + 1) % 8;
    let second = elect(&network, at);
    assert_eq!(second.0[0], first.0[1], "the other reader stays");
    assert!(second.0.iter().all(|name| *name != first.0[0]));
    assert_eq!(
        elect(&network, 12),
        second,
        "another domain elects the same"
    );
    network.start(gone);
    network.run(20_000);
    assert_eq!(elect(&network, at), first);
}

/// Guards against a VM that is listed as live, never answers, and comes back with every list.
#[test]
fn listed_node_that_never_answers_stays_dead() {
    let mut network = FakeNetwork::new(1, 4, 140, Default::default());
    (0..3).for_each(|place| network.start(place));
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
