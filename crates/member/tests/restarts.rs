//! Restarts of the whole fleet and pairs of faults drawn from a seed.

mod support;

use member::NodeState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::FakeNetwork;
use yare::parameterized;

/// Bytes a second that one node may send while all nodes restart.
const STORM_RATE: u64 = 6 * 1_024;

/// Guards against a fleet that loses itself when all nodes restart within a minute.
#[parameterized(one_domain = { 1, 26 }, some_domains = { 5, 8 })]
fn all_nodes_restart_within_a_minute(domains: usize, count: usize) {
    let mut network = FakeNetwork::settled(domains, count, 150);
    let total = domains * count;
    let before = network.sent_bytes();
    for second in 0..60 {
        (second * total / 60..(second + 1) * total / 60).for_each(|place| network.start(place));
        network.run(1_000);
    }
    network.run(20_000);
    assert!(network.agrees());
    assert!((0..total).all(|place| network.nodes[place].runs == 2));
    assert!((0..total).all(|of| network.count_told(of, NodeState::Dead) == 0));
    for (after, before) in network.sent_bytes().iter().zip(before) {
        assert!(after - before < STORM_RATE * 80);
    }
}

fn bring_about(network: &mut FakeNetwork, random: &mut Pcg64Mcg) -> String {
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
            network.cuts.insert((one, other));
            ("silent one way", 5_000)
        }
        3 => {
            network.cut(&[one], &[other]);
            ("silent", 5_000)
        }
        4 => {
            let near: Vec<usize> = (0..6).collect();
            network.cut(&near, &[6, 7, 8, 9, 10, 11]);
            ("domain cut", 15_000)
        }
        _ => {
            network.start(one);
            ("restart", 500)
        }
    };
    network.run(millis.min(3_000));
    format!("{name} {one} {other} for {millis}")
}

/// Guards against two faults at a time after which views differ for good.
#[test]
fn views_agree_again_after_pairs_of_faults() {
    for seed in 160..200 {
        let mut network = FakeNetwork::settled(2, 6, seed);
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let first = bring_about(&mut network, &mut random);
        let second = bring_about(&mut network, &mut random);
        network.run(random.random_range(0..30_000));
        network.cuts.clear();
        for place in 0..12 {
            if network.nodes[place].table.is_none() {
                network.start(place);
            } else if network.nodes[place].paused {
                network.resume(place);
            }
        }
        network.run(30_000);
        assert!(network.agrees(), "seed {seed}: {first}, {second}");
    }
}
