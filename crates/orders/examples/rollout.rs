//! Rolls a version out over fake fleets of three sizes in virtual time and prints the time that it
//! takes, the orders per target and the processor time of a tick.
//!
//! `cargo run --release -p orders --example rollout`, or with `--small` without the largest fleet.

#[path = "../tests/support/mod.rs"]
mod support;

use base::TimeSpan;
use orders::GuardSwitches;
use support::{FakeFleet, FleetShape};

/// Time of one load at the rate of a slot.
const LOAD_SECONDS: u64 = 2;
/// Bytes of one version.
const WEIGHT_BYTES: u64 = 8_000_000_000;
/// Longest rollout in virtual time.
const LIMIT: TimeSpan = TimeSpan::from_secs(7_200);
/// Time after the rollout in which the idle ticks are measured.
const IDLE: TimeSpan = TimeSpan::from_secs(30);

fn main() {
    let small = std::env::args().any(|argument| argument == "--small");
    println!(
        "{:>7} {:>7} {:>5} {:>4} {:>9} {:>9} {:>9} {:>11} {:>11} {:>11} {:>11}",
        "targets",
        "domains",
        "nodes",
        "room",
        "rollout",
        "at least",
        "orders/t",
        "tick mean",
        "tick p99",
        "idle mean",
        "idle p99"
    );
    let sizes = [(4, 3, 2), (1, 290, 26), (17, 289, 26)];
    for (domains, targets, nodes) in sizes.into_iter().take(if small { 2 } else { 3 }) {
        for room in [2, 1] {
            measure(domains, targets, nodes, room);
        }
    }
}

fn measure(domains: usize, targets: usize, nodes: usize, room: usize) {
    // A slot is a quarter of the share of the domain, half of which is in use at a time.
    let slot = WEIGHT_BYTES / LOAD_SECONDS;
    let shape = FleetShape {
        domains,
        nodes,
        targets,
        rate: slot * 4 * domains as u64,
        bytes: WEIGHT_BYTES,
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::holding(&shape, GuardSwitches::default(), "1");
    fleet.probe_all = false;
    for target in &mut fleet.targets {
        target.room = room;
    }
    fleet.declare(1, &shape.version("1"));
    fleet.run(TimeSpan::from_secs(10));
    fleet.declare(2, &shape);
    fleet.ticks.clear();
    let took = fleet.run_until(LIMIT, |fleet| fleet.all_serve("2"));
    let busy = std::mem::take(&mut fleet.ticks);
    fleet.run(TimeSpan::from_secs(10));
    fleet.ticks.clear();
    fleet.run(IDLE);
    let idle = std::mem::take(&mut fleet.ticks);
    let count = domains * targets;
    // Two loads run at a time, but only one target at a time gives up its old version first.
    let rounds = if room == 1 {
        targets
    } else {
        targets.div_ceil(2)
    };
    let least = TimeSpan::from_secs(LOAD_SECONDS) * rounds as u64;
    let orders = fleet.records.len() as f64 / count as f64;
    println!(
        "{:>7} {:>7} {:>5} {:>4} {:>9} {:>9} {:>9.2} {:>11} {:>11} {:>11} {:>11}",
        count,
        domains,
        domains * nodes,
        room,
        took.map_or("never".to_owned(), seconds),
        seconds(least),
        orders,
        mean(&busy),
        share(&busy, 0.99),
        mean(&idle),
        share(&idle, 0.99)
    );
    assert!(
        fleet.peak_rate <= shape.rate,
        "the weight rate was exceeded"
    );
    assert!(
        fleet.shortfalls(targets / 2).is_empty(),
        "the capacity fell below the minimum"
    );
}

fn seconds(span: TimeSpan) -> String {
    format!("{:.1}s", span.as_millis() as f64 / 1_000.0)
}

fn mean(nanos: &[u64]) -> String {
    let sum: u64 = nanos.iter().sum();
    micros(sum / nanos.len().max(1) as u64)
}

fn share(nanos: &[u64], share: f64) -> String {
    let mut sorted = nanos.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * share) as usize;
    micros(sorted.get(at).copied().unwrap_or_default())
}

fn micros(nanos: u64) -> String {
    format!("{:.1}us", nanos as f64 / 1_000.0)
}
