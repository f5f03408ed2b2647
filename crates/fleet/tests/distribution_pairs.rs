//! Distribution under pairs of faults, chosen by a seeded generator.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{FakeConfig, FakeFleet, FleetTexts};
use yare::parameterized;

const DOMAINS: usize = 3;
const NODES: usize = 18;
const FAULT_KINDS: usize = 7;

/// Injects one fault; faults other than a pause or restart last until `heal`.
fn inject_fault(fleet: &mut FakeFleet, rng: &mut Pcg64Mcg, kind: usize) {
    let node = rng.random_range(0..NODES);
    let domain = rng.random_range(0..DOMAINS);
    match kind {
        0 => fleet.kill(node),
        1 => fleet.pause(node, rng.random_range(1_000..60_000)),
        2 => fleet.cut_pairs.push((domain, (domain + 1) % DOMAINS)),
        3 => fleet.cut_platform.push(domain),
        4 => fleet.platform.stale = Some((fleet.platform.state.clone(), vec![domain])),
        5 => fleet.platform.is_down = true,
        _ => {
            fleet.kill(node);
            fleet.start(node);
        }
    }
}

/// Removes all faults and starts the nodes that are down.
fn heal(fleet: &mut FakeFleet) {
    fleet.cut_pairs.clear();
    fleet.cut_platform.clear();
    fleet.platform.stale = None;
    fleet.platform.is_down = false;
    for node in 0..NODES {
        if fleet.nodes[node].sync.is_none() {
            fleet.start(node);
        }
    }
}

/// Guards against combined faults that bring back an older revision or stop the distribution.
#[parameterized(
    s1 = { 1 }, s2 = { 2 }, s3 = { 3 }, s4 = { 4 }, s5 = { 5 }, s6 = { 6 }, s7 = { 7 }, s8 = { 8 },
)]
fn pairs_of_faults_revert_nothing_and_heal(seed: u64) {
    println!("seed {seed}");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let texts = FleetTexts::small(DOMAINS, NODES);
    let mut fleet = FakeFleet::new(FakeConfig::new(DOMAINS, NODES, seed));
    fleet.publish(1, &texts.keys(0));
    fleet.start_all();
    fleet.run_for(10_000);
    let mut change = 0;
    for _ in 0..6 {
        let first = rng.random_range(0..FAULT_KINDS);
        let second = (first + rng.random_range(1..FAULT_KINDS)) % FAULT_KINDS;
        println!("faults {first} and {second} at {} ms", fleet.now);
        inject_fault(&mut fleet, &mut rng, first);
        fleet.run_for(rng.random_range(0..3_000));
        inject_fault(&mut fleet, &mut rng, second);
        for _ in 0..5 {
            change += 1;
            let keys = match rng.random_range(0..5) {
                0 => texts.invalid_keys(change),
                _ => texts.keys(change),
            };
            fleet.publish(1, &keys);
            fleet.run_for(rng.random_range(10..4_000));
        }
        heal(&mut fleet);
        change += 1;
        let stamp = fleet.publish(1, &texts.keys(change));
        // Long enough for a pause of up to 60 s and the longest backoff of a reader to end.
        fleet.run_for(100_000);
        assert!(fleet.all_have(stamp));
    }
    for node in &fleet.nodes {
        let mut ready = node.ready.windows(2);
        assert!(ready.all(|pair| pair[0].1 <= pair[1].1), "{}", node.name);
        // Within one incarnation every accepted revision is newer than the previous one.
        for stamps in node.accepted_by_incarnation() {
            assert!(
                stamps.windows(2).all(|pair| pair[0] < pair[1]),
                "{}",
                node.name
            );
        }
    }
}
