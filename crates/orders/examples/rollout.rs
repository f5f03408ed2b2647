//! Rolls out a version on simulated fleets of three sizes in virtual time and prints the duration,
//! the orders per target and the processing time of a tick.
//!
//! `cargo run --release -p orders --example rollout`, or with `--small` without the largest fleet.

#[path = "../tests/support/mod.rs"]
mod support;

use base::TimeSpan;
use orders::GuardSwitches;
use support::{FakeFleet, FleetShape};

/// Duration of one load at the rate that a permit allows.
const LOAD_SECONDS: u64 = 2;
/// Size of the weights of one version in bytes.
const WEIGHT_BYTES: u64 = 8_000_000_000;
/// Maximum duration of a rollout in virtual time.
const ROLLOUT_LIMIT: TimeSpan = TimeSpan::from_secs(7_200);
/// Time after the rollout during which the idle ticks are measured.
const IDLE_TIME: TimeSpan = TimeSpan::from_secs(30);

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
        for version_limit in [2, 1] {
            measure(domains, targets, nodes, version_limit);
        }
    }
}

fn measure(domains: usize, targets: usize, nodes: usize, version_limit: usize) {
    // One load gets a quarter of the domain's share; two loads run at a time, which is half of it.
    let load_rate = WEIGHT_BYTES / LOAD_SECONDS;
    let shape = FleetShape {
        domains,
        nodes,
        targets,
        rate: load_rate * 4 * domains as u64,
        bytes: WEIGHT_BYTES,
        ..FleetShape::default()
    };
    let mut fleet = FakeFleet::with_loaded_version(&shape, GuardSwitches::default(), "1");
    fleet.probe_all = false;
    for target in &mut fleet.targets {
        target.version_limit = version_limit;
    }
    fleet.declare(1, &shape.version("1"));
    fleet.run(TimeSpan::from_secs(10));
    fleet.declare(2, &shape);
    fleet.tick_nanos.clear();
    let took = fleet.run_until(ROLLOUT_LIMIT, |fleet| fleet.all_serve("2"));
    let busy = std::mem::take(&mut fleet.tick_nanos);
    fleet.run(TimeSpan::from_secs(10));
    fleet.tick_nanos.clear();
    fleet.run(IDLE_TIME);
    let idle = std::mem::take(&mut fleet.tick_nanos);
    let count = domains * targets;
    // Two loads run at a time, but only one target at a time is out of service for a swap.
    let rounds = if version_limit == 1 {
        targets
    } else {
        targets.div_ceil(2)
    };
    let minimum = TimeSpan::from_secs(LOAD_SECONDS) * rounds as u64;
    let orders = fleet.records.len() as f64 / count as f64;
    println!(
        "{:>7} {:>7} {:>5} {:>4} {:>9} {:>9} {:>9.2} {:>11} {:>11} {:>11} {:>11}",
        count,
        domains,
        domains * nodes,
        version_limit,
        took.map_or("never".to_owned(), seconds),
        seconds(minimum),
        orders,
        mean(&busy),
        percentile(&busy, 0.99),
        mean(&idle),
        percentile(&idle, 0.99)
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

fn percentile(nanos: &[u64], fraction: f64) -> String {
    let mut sorted = nanos.to_vec();
    sorted.sort_unstable();
    let position = (sorted.len() as f64 * fraction) as usize;
    micros(sorted.get(position).copied().unwrap_or_default())
}

fn micros(nanos: u64) -> String {
    format!("{:.1}us", nanos as f64 / 1_000.0)
}
