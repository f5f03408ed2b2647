//! Prints the share of requests without an answer for each fault and kind of idempotency key.
//!
//! Run with `cargo run -p calls --example refusals -- SEED`.

#[path = "../tests/fake/mod.rs"]
mod fake;

use calls::HistoryChecker;
use fake::{Fault, Scheme, World, WorldConfig};

const REQUESTS: u32 = 5_000;
const FAULT_PERIOD_MS: u64 = 3_000;
/// Replacements in a fleet of 440 nodes in a day, and the lifetime of a key.
const REPLACED_PER_DAY: f64 = 1_400.0;
const NODES: f64 = 440.0;
const KEY_LIFETIME_S: f64 = 600.0;

fn percent(part: u32) -> f64 {
    f64::from(part) * 100.0 / f64::from(REQUESTS)
}

fn print_row(name: &str, faults: &[Fault], scheme: Scheme, seed: u64) {
    let mut config = WorldConfig::new(seed, REQUESTS, faults);
    config.scheme = scheme;
    config.fault_period_ms = FAULT_PERIOD_MS;
    let report = World::new(config).run();
    let found = HistoryChecker::new(1_000).check(&report.history).len();
    println!(
        "| {name} | {scheme:?} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {found} |",
        report.faults,
        percent(report.answered),
        percent(report.refused),
        percent(report.unknown),
        percent(report.silent),
    );
}

/// Chance that a node was replaced within the last lifetime of a key.
fn print_estimate() {
    let replaced = REPLACED_PER_DAY / NODES * KEY_LIFETIME_S / 86_400.0;
    let any_of = |nodes: f64| 1.0 - (1.0 - replaced).powf(nodes);
    println!(
        "\nCalculated, not measured, for {NODES} nodes at {REPLACED_PER_DAY} replacements a day:"
    );
    println!(
        "new home asks 2 witnesses: {:.3}% refused",
        100.0 * replaced * any_of(2.0)
    );
    println!(
        "new home asks all peers: {:.3}% refused",
        100.0 * replaced * any_of(NODES - 1.0)
    );
    println!(
        "new home asks nobody and refuses: {:.3}% refused",
        100.0 * replaced
    );
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}, {REQUESTS} requests a row, a fault every {FAULT_PERIOD_MS} ms\n");
    println!(
        "| fault | key | faults | answered % | not run % | unknown % | no answer % | violations |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for scheme in [Scheme::Ticket, Scheme::Key, Scheme::Neither] {
        print_row("none", &[], scheme, seed);
        for fault in Fault::ALL {
            print_row(&format!("{fault:?}"), &[fault], scheme, seed);
        }
    }
    print_estimate();
}
