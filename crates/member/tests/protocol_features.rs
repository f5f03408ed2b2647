//! Each feature of the protocol prevents a fault that occurs without it.

mod support;

use member::{MemberAction, NodeState, ProtocolFeatures};
use support::FakeNetwork;
use yare::parameterized;

/// Runs a fault with and without a feature over a few seeds and sums up the damage of each.
fn compare(
    off: ProtocolFeatures,
    damage: impl Fn(ProtocolFeatures, u64) -> usize,
) -> (usize, usize) {
    let total = |set: ProtocolFeatures| (70..76).map(|seed| damage(set, seed)).sum();
    (total(ProtocolFeatures::default()), total(off))
}

/// Guards against a node that is declared dead after a pause of 1.5 s.
#[test]
fn suspicion_saves_a_briefly_paused_node() {
    let off = ProtocolFeatures {
        suspicion: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::converged_with(1, 8, seed, set);
        network.pause(2);
        network.run(1_500);
        network.resume(2);
        network.run(3_000);
        network.count_reported(2, NodeState::Dead)
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against a suspected node that is declared dead although it is running again.
#[test]
fn refutation_saves_a_suspected_node() {
    let off = ProtocolFeatures {
        refutation: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::converged_with(1, 8, seed, set);
        network.pause(2);
        network.run(1_500);
        network.resume(2);
        network.run(5_000);
        network.count_reported(2, NodeState::Dead)
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against a healthy node that is suspected because one link to it is blocked.
#[test]
fn indirect_probes_save_a_node_behind_a_blocked_link() {
    let off = ProtocolFeatures {
        indirect_probes: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::converged_with(1, 8, seed, set);
        network.block_between(&[0], &[1]);
        network.run(20_000);
        network.count_reported(0, NodeState::Suspect)
            + network.count_reported(1, NodeState::Suspect)
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against a resuming node that declares a peer dead although the peer recovered during the
/// node's pause.
#[test]
fn local_health_saves_peers_from_a_resuming_node() {
    let off = ProtocolFeatures {
        local_health: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::converged_with(1, 8, seed, set);
        network.pause(2);
        network.run(1_500);
        network.pause(5);
        network.resume(2);
        network.run(10_000);
        network.resume(5);
        network.run(3_000);
        usize::from(network.first_reported(5, 2, NodeState::Dead).is_some())
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against peers that keep choosing a node that is being stopped.
#[parameterized(small = { 8 }, large = { 26 })]
fn leave_announcement_reaches_all_peers_within_a_second(count: usize) {
    let off = ProtocolFeatures {
        leave_announcement: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::converged_with(1, count, seed, set);
        network.leave(3);
        network.run(1_000);
        let others = (0..count).filter(|at| *at != 3);
        let trusting = others.filter(|at| network.state(*at, 3) == NodeState::Alive);
        trusting.count()
    });
    assert_eq!(with, 0);
    assert_eq!(without, 6 * (count - 1));
}

/// Guards against treating a leaving node as failed, and against one that is never declared dead
/// after it exits.
#[test]
fn leaving_node_is_dead_only_after_it_exits() {
    let mut network = FakeNetwork::converged(1, 8, 80);
    network.leave(3);
    network.run(20_000);
    assert_eq!(network.count_reported(3, NodeState::Suspect), 0);
    assert_eq!(network.count_reported(3, NodeState::Dead), 0);
    let bridges = network.nodes[0].table().bridges(&network.nodes[0].domain);
    assert!(!bridges.contains(&network.nodes[3].name));
    network.kill(3);
    network.run(6_000);
    assert_eq!(network.count_reported(3, NodeState::Dead), 7);
}

/// Guards against a payload that is lost, delivered twice, or larger than the protocol allows.
#[test]
fn payload_reaches_every_peer_once() {
    let mut network = FakeNetwork::converged(1, 8, 81);
    let table = network.nodes[0].table.as_mut().unwrap();
    assert!(!table.publish_payload(1, vec![0; member::MAX_PAYLOAD_BYTES + 1]));
    assert!(table.publish_payload(1, vec![7; 100]));
    network.run(5_000);
    let mut got = Vec::new();
    for (_, by, action) in &network.reported {
        if let MemberAction::PayloadReceived { kind: 1, bytes, .. } = action {
            assert_eq!(bytes.len(), 100);
            got.push(*by);
        }
    }
    got.sort_unstable();
    assert_eq!(got, [1, 2, 3, 4, 5, 6, 7]);
}
