//! Prints how long peers take to declare a killed node dead, over many seeds, in virtual time.
//!
//! `cargo run --release -p member --example detection_time`

#[path = "../tests/support/mod.rs"]
mod support;

use member::NodeState;
use support::FakeNetwork;

const SEEDS: u64 = 200;

fn main() {
    println!("nodes  kind     first p50  first max  last p50  last p99  last max  (ms)");
    for count in [2, 4, 8, 26] {
        for refused in [false, true] {
            measure(count, refused);
        }
    }
}

fn measure(count: usize, refused: bool) {
    let mut first = Vec::new();
    let mut last = Vec::new();
    for seed in 0..SEEDS {
        let times = detect(count, refused, seed);
        first.push(*times.iter().min().expect("a peer"));
        last.push(*times.iter().max().expect("a peer"));
    }
    first.sort_unstable();
    last.sort_unstable();
    let at = |times: &[u64], share: usize| times[(times.len() * share / 100).min(times.len() - 1)];
    println!(
        "{count:5}  {:8} {:9} {:10} {:9} {:9} {:9}",
        if refused { "refused" } else { "silent" },
        at(&first, 50),
        at(&first, 100),
        at(&last, 50),
        at(&last, 99),
        at(&last, 100),
    );
}

/// Kills node 1 and returns, for every other node, the milliseconds until its table reports node 1
/// dead.
fn detect(count: usize, refused: bool, seed: u64) -> Vec<u64> {
    let mut network = FakeNetwork::converged(1, count, seed);
    network.run(seed * 37 % 500);
    let killed = network.now;
    network.kill(1);
    let name = network.nodes[1].name.clone();
    for _ in 0..200 {
        network.run(50);
        for at in (0..count).filter(|at| refused && *at != 1) {
            let table = network.nodes[at].table.as_mut().expect("it runs");
            table.on_connection_refused(network.now, &name);
        }
    }
    let others = (0..count).filter(|at| *at != 1);
    let times = others.map(|at| network.first_reported(at, 1, NodeState::Dead));
    times
        .map(|time| (time.expect("dead in 10 s") - killed).as_millis())
        .collect()
}
