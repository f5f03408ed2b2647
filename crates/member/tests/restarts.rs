//! Restarts of the whole fleet, and pairs of faults drawn from a seed.

mod support;

use member::NodeState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::FakeNetwork;
use yare::parameterized;

/// Most bytes per second that one node may send while all nodes restart.
const MAX_RESTART_RATE: u64 = 6 * 1_024;

/// Guards against nodes that lose track of each other, or send too much, when all nodes restart
/// within a minute.
#[parameterized(one_domain = { 1, 26 }, some_domains = { 5, 8 })]
fn all_nodes_restart_within_a_minute(domains: usize, count: usize) {
    let mut network = FakeNetwork::converged(domains, count, 150);
    let total = domains * count;
    let before = network.sent_bytes();
    for second in 0..60 {
        (second * total / 60..(second + 1) * total / 60).for_each(|index| network.start(index));
        network.run(1_000);
    }
    network.run(20_000);
    assert!(network.views_converged());
    assert!((0..total).all(|index| network.nodes[index].runs == 2));
    assert!((0..total).all(|of| network.count_reported(of, NodeState::Dead) == 0));
    for (after, before) in network.sent_bytes().iter().zip(before) {
        assert!(after - before < MAX_RESTART_RATE * 80);
    }
}

/// Injects a random fault and lets it last; returns its description.
fn inject_fault(network: &mut FakeNetwork, random: &mut Pcg64Mcg) -> String {
    let one = random.random_range(0..12);
    let other = (one + random.random_range(1..12)) % 12;
    let (name, millis) = match random.random_range(0..6) {
        0 => {
            network.kill(one);
            ("kill", 6_000)
        }
        1 => {
            network.pause(one);
            ("pause", random.random_range(1_000..60_000))
        }
        2 => {
            network.blocked_links.insert((one, other));
            ("blocked one way", 5_000)
        }
        3 => {
            network.block_between(&[one], &[other]);
            ("blocked", 5_000)
        }
        4 => {
            let near: Vec<usize> = (0..6).collect();
            network.block_between(&near, &[6, 7, 8, 9, 10, 11]);
            ("domain partition", 15_000)
        }
        _ => {
            network.start(one);
            ("restart", 500)
        }
    };
    network.run(millis.min(3_000));
    format!("{name} {one} {other} for {millis}")
}

/// Guards against two overlapping faults after which views differ for good.
#[test]
fn views_agree_again_after_pairs_of_faults() {
    for seed in 160..200 {
        let mut network = FakeNetwork::converged(2, 6, seed);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let first = inject_fault(&mut network, &mut random);
        let second = inject_fault(&mut network, &mut random);
        network.run(random.random_range(0..30_000));
        network.blocked_links.clear();
        for index in 0..12 {
            if network.nodes[index].table.is_none() {
                network.start(index);
            } else if network.nodes[index].paused {
                network.resume(index);
            }
        }
        network.run(30_000);
        assert!(network.views_converged(), "seed {seed}: {first}, {second}");
    }
}
