//! Prints the share of requests without an answer for each fault and kind of idempotency key.
//!
//! Run with `cargo run -p calls --example refusals -- SEED`.

#[path = "../tests/fake/mod.rs"]
mod fake;

use base::TimeSpan;
use calls::HistoryChecker;
use fake::{FaultKind, KeyScheme, Simulation, SimulationConfig};

const REQUESTS: u32 = 5_000;
const FAULT_PERIOD_MS: u64 = 3_000;
const RARE_PERIOD_MS: u64 = 25_000;
/// Replacements in a fleet of 440 nodes in a day, and the lifetime of a key.
const REPLACED_PER_DAY: f64 = 1_400.0;
const NODES: f64 = 440.0;
const KEY_LIFETIME_S: f64 = 600.0;

fn percent(part: u32) -> f64 {
    f64::from(part) * 100.0 / f64::from(REQUESTS)
}

fn row(faults: &[FaultKind], scheme: KeyScheme, seed: u64) -> SimulationConfig {
    let mut config = SimulationConfig::new(seed, REQUESTS, faults);
    config.scheme = scheme;
    config.fault_period_ms = FAULT_PERIOD_MS;
    config
}

/// Kills that are rare within the lifetime of a key, as they are in a fleet.
fn rare_kills(scheme: KeyScheme, seed: u64) -> SimulationConfig {
    let mut config = row(&[FaultKind::KillNode], scheme, seed);
    config.fault_period_ms = RARE_PERIOD_MS;
    config.think_ms = 4_000;
    config.key_lifetime = TimeSpan::from_secs(15);
    config
}

fn print_row(name: &str, config: SimulationConfig) {
    let scheme = config.scheme;
    let report = Simulation::new(config).run();
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

/// Refusals of first uses of a key, by the chance that a node is newer than a key's lifetime.
fn print_estimate() {
    let new = REPLACED_PER_DAY / NODES * KEY_LIFETIME_S / 86_400.0;
    let any_of = |nodes: f64| 1.0 - (1.0 - new).powf(nodes);
    // A home that is not new needs one witness that is not new either.
    let witnesses = new * any_of(2.0) + (1.0 - new) * new * new;
    let peers = new * any_of(NODES - 1.0);
    println!("\nCalculated for {NODES} nodes, {REPLACED_PER_DAY} replacements a day:");
    println!(
        "the home needs 2 witnesses: {:.3}% refused",
        100.0 * witnesses
    );
    println!("a new home asks all peers: {:.3}% refused", 100.0 * peers);
    println!("a new home refuses all: {:.3}% refused", 100.0 * new);
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let seed = seed.unwrap_or(1);
    println!("seed {seed}, {REQUESTS} requests a row, a fault every {FAULT_PERIOD_MS} ms\n");
    println!(
        "| fault | key | faults | answered % | not run % | unknown % | no answer % | violations |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for scheme in [KeyScheme::Ticket, KeyScheme::Key, KeyScheme::Neither] {
        print_row("none", row(&[], scheme, seed));
        for fault in FaultKind::ALL {
            print_row(&format!("{fault:?}"), row(&[fault], scheme, seed));
        }
        print_row("KillNode, rare", rare_kills(scheme, seed));
    }
    print_estimate();
}
