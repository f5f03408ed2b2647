//! Each mechanism prevents a fault that occurs without it.

mod support;

use member::{MechanismSet, MemberAction, NodeState};
use support::FakeNetwork;
use yare::parameterized;

/// Runs a fault with and without a mechanism over a few seeds and counts the damage.
fn compare(off: MechanismSet, damage: impl Fn(MechanismSet, u64) -> usize) -> (usize, usize) {
    let total = |set: MechanismSet| (70..76).map(|seed| damage(set, seed)).sum();
    (total(MechanismSet::default()), total(off))
}

/// Guards against a node declared dead after a pause of a second and a half.
#[test]
fn suspicion_saves_a_briefly_paused_node() {
    let off = MechanismSet {
        suspicion: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::settled_with(1, 8, seed, set);
        network.pause(2);
        network.run(1_500);
        network.resume(2);
        network.run(3_000);
        network.count_told(2, NodeState::Dead)
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against a suspected node that cannot clear itself.
#[test]
fn refutation_saves_a_suspected_node() {
    let off = MechanismSet {
        refutation: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::settled_with(1, 8, seed, set);
        network.pause(2);
        network.run(1_500);
        network.resume(2);
        network.run(5_000);
        network.count_told(2, NodeState::Dead)
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against a silent link that makes a healthy node suspect.
#[test]
fn indirect_probes_save_a_node_behind_a_silent_link() {
    let off = MechanismSet {
        indirect_probes: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::settled_with(1, 8, seed, set);
        network.cut(&[0], &[1]);
        network.run(20_000);
        network.count_told(0, NodeState::Suspect) + network.count_told(1, NodeState::Suspect)
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against a node that wakes up and declares a peer dead that recovered meanwhile.
#[test]
fn local_health_saves_peers_from_a_waking_node() {
    let off = MechanismSet {
        local_health: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::settled_with(1, 8, seed, set);
        network.pause(2);
        network.run(1_500);
        network.pause(5);
        network.resume(2);
        network.run(10_000);
        network.resume(5);
        network.run(3_000);
        usize::from(network.first_told(5, 2, NodeState::Dead).is_some())
    });
    assert_eq!(with, 0);
    assert!(without > 0);
}

/// Guards against peers that keep choosing a node that is stopping.
#[parameterized(small = { 8 }, large = { 26 })]
fn leave_announcement_reaches_all_peers_within_a_second(count: usize) {
    let off = MechanismSet {
        leave_announcement: false,
        ..Default::default()
    };
    let (with, without) = compare(off, |set, seed| {
        let mut network = FakeNetwork::settled_with(1, count, seed, set);
        network.leave(3);
        network.run(1_000);
        let others = (0..count).filter(|at| *at != 3);
        let trusting = others.filter(|at| network.state(*at, 3) == NodeState::Alive);
        trusting.count()
    });
    assert_eq!(with, 0);
    assert_eq!(without, 6 * (count - 1));
}

/// Guards against a leaving node that is taken for a failed one, or never for a stopped one.
#[test]
fn leaving_node_is_dead_only_after_it_exits() {
    let mut network = FakeNetwork::settled(1, 8, 80);
    network.leave(3);
    network.run(20_000);
    assert_eq!(network.count_told(3, NodeState::Suspect), 0);
    assert_eq!(network.count_told(3, NodeState::Dead), 0);
    let bridges = network.nodes[0].table().bridges(&network.nodes[0].domain);
    assert!(!bridges.contains(&network.nodes[3].name));
    network.kill(3);
    network.run(6_000);
    assert_eq!(network.count_told(3, NodeState::Dead), 7);
}

/// Guards against a payload that is lost, repeated, or larger than the protocol allows.
#[test]
fn payload_reaches_every_peer_once() {
    let mut network = FakeNetwork::settled(1, 8, 81);
    let table = network.nodes[0].table.as_mut().unwrap();
    assert!(!table.publish_payload(1, vec![0; member::PAYLOAD_LIMIT + 1]));
    assert!(table.publish_payload(1, vec![7; 100]));
    network.run(5_000);
    let mut got = Vec::new();
    for (_, by, action) in &network.told {
        if let MemberAction::Payload { kind: 1, bytes, .. } = action {
            assert_eq!(bytes.len(), 100);
            got.push(*by);
        }
    }
    got.sort_unstable();
    assert_eq!(got, [1, 2, 3, 4, 5, 6, 7]);
}
