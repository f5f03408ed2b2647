//! Measures the distribution of revisions in virtual time and prints a table.
//!
//! `cargo run --release -p fleet --example distribution -- SEED`

#[path = "../tests/support/mod.rs"]
mod support;

use std::env;
use std::time::Instant;

use fleet::{KeySet, make_head, validate_set};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schema::IniFile;
use support::{FakeConfig, FakeFleet, FleetTexts};

/// Time between two changes in the steady phase: 8,100 changes a day.
const STEADY_INTERVAL_MS: u64 = 86_400_000 / 8_100;
const STEADY_MS: u64 = 600_000;
const BURST_CHANGES: u64 = 100;
const BURST_INTERVAL_MS: u64 = 10;
const RESTARTS_MS: u64 = 60_000;

/// Measured figures of one phase.
struct PhaseFigures {
    name: &'static str,
    latencies: Vec<u64>,
    missing: usize,
    calls_per_second: f64,
    peer_bytes: Vec<u64>,
    platform_bytes: Vec<u64>,
    seconds: f64,
}

/// Counters of the fleet at one time, for the difference over a phase.
struct CounterSnapshot {
    at: u64,
    calls: u64,
    peer_bytes: Vec<u64>,
    platform_bytes: Vec<u64>,
}

impl CounterSnapshot {
    fn new(fleet: &FakeFleet) -> Self {
        Self {
            at: fleet.now,
            calls: fleet.platform.calls,
            peer_bytes: fleet.nodes.iter().map(|node| node.sent_bytes).collect(),
            platform_bytes: fleet.nodes.iter().map(|node| node.platform_bytes).collect(),
        }
    }

    fn finish(
        self,
        fleet: &FakeFleet,
        name: &'static str,
        latencies: Vec<Option<u64>>,
    ) -> PhaseFigures {
        let now = Self::new(fleet);
        let seconds = (now.at - self.at) as f64 / 1_000.0;
        let differences = |new: Vec<u64>, old: Vec<u64>| {
            let mut bytes: Vec<u64> = new.iter().zip(&old).map(|(new, old)| new - old).collect();
            bytes.sort_unstable();
            bytes
        };
        let missing = latencies.iter().filter(|latency| latency.is_none()).count();
        let mut latencies: Vec<u64> = latencies.into_iter().flatten().collect();
        latencies.sort_unstable();
        PhaseFigures {
            name,
            latencies,
            missing,
            calls_per_second: (now.calls - self.calls) as f64 / seconds,
            peer_bytes: differences(now.peer_bytes, self.peer_bytes),
            platform_bytes: differences(now.platform_bytes, self.platform_bytes),
            seconds,
        }
    }
}

impl PhaseFigures {
    fn print(&self, nodes: usize, readers: &str) {
        let rate = |bytes: u64| bytes as f64 / self.seconds / 1_000.0;
        let mean = self.peer_bytes.iter().sum::<u64>() / self.peer_bytes.len() as u64;
        println!(
            "| {nodes} | {readers} | {} | {} | {} | {} | {} | {:.1} | {:.2} | {:.2} | {:.2} |",
            self.name,
            quantile(&self.latencies, 0.5),
            quantile(&self.latencies, 0.99),
            quantile(&self.latencies, 1.0),
            self.missing,
            self.calls_per_second,
            rate(mean),
            rate(quantile(&self.peer_bytes, 1.0)),
            rate(quantile(&self.platform_bytes, 1.0)),
        );
    }
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    let last = sorted.len().saturating_sub(1);
    let at = (last as f64 * share).ceil() as usize;
    sorted.get(at).copied().unwrap_or(0)
}

fn main() {
    let seed = env::args()
        .nth(1)
        .map_or(1, |text| text.parse().unwrap_or(1));
    println!("seed {seed}");
    println!(
        "| nodes | readers in a domain | phase | p50 ms | p99 ms | max ms | not reached | \
         platform calls/s | peer kB/s mean | peer kB/s max | platform kB/s max |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (nodes, domains) in [(8, 4), (16, 4), (32, 4), (64, 4), (440, 17)] {
        measure(nodes, domains, 2, seed);
    }
    // Baseline for comparison: every node is a reader.
    for (nodes, domains) in [(8, 4), (64, 4), (440, 17)] {
        measure(nodes, domains, usize::MAX, seed);
    }
    measure_validation();
}

fn texts_for(nodes: usize, domains: usize) -> FleetTexts {
    FleetTexts {
        domains,
        nodes,
        targets: nodes * 4_900 / 440,
        workspaces: nodes * 3_400 / 440,
    }
}

fn measure(nodes: usize, domains: usize, readers: usize, seed: u64) {
    let label = if readers == 2 { "2" } else { "all" };
    let texts = texts_for(nodes, domains);
    let mut config = FakeConfig::new(domains, nodes, seed);
    config.readers = readers;
    let mut fleet = FakeFleet::new(config);
    fleet.publish(1, &texts.keys(0));
    fleet.start_all();
    fleet.run_for(30_000);
    measure_steady(&mut fleet, &texts).print(nodes, label);
    measure_burst(&mut fleet, &texts).print(nodes, label);
    measure_restarts(&mut fleet, seed).print(nodes, label);
}

fn measure_steady(fleet: &mut FakeFleet, texts: &FleetTexts) -> PhaseFigures {
    let before = CounterSnapshot::new(fleet);
    let mut latencies = Vec::new();
    for change in 1..=STEADY_MS / STEADY_INTERVAL_MS {
        let since = fleet.now;
        let stamp = fleet.publish(1, &texts.keys(change));
        fleet.run_for(STEADY_INTERVAL_MS);
        latencies.extend(fleet.latencies(stamp, since));
    }
    before.finish(fleet, "steady, 8,100 changes a day", latencies)
}

fn measure_burst(fleet: &mut FakeFleet, texts: &FleetTexts) -> PhaseFigures {
    let before = CounterSnapshot::new(fleet);
    let mut published = Vec::new();
    for change in 1..=BURST_CHANGES {
        let since = fleet.now;
        published.push((since, fleet.publish(1, &texts.keys(1_000_000 + change))));
        fleet.run_for(BURST_INTERVAL_MS);
    }
    fleet.run_for(9_000);
    let latencies = published
        .into_iter()
        .flat_map(|(since, stamp)| fleet.latencies(stamp, since));
    let latencies = latencies.collect();
    before.finish(fleet, "burst of 100 in 1 s", latencies)
}

/// Restarts every node within a minute; the latencies are the times until each node is ready.
fn measure_restarts(fleet: &mut FakeFleet, seed: u64) -> PhaseFigures {
    let before = CounterSnapshot::new(fleet);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = fleet.now;
    let mut times: Vec<(u64, usize)> = (0..fleet.nodes.len())
        .map(|node| (start + rng.random_range(0..RESTARTS_MS), node))
        .collect();
    times.sort_unstable();
    for (at, node) in &times {
        fleet.run_until(*at);
        fleet.kill(*node);
        fleet.start(*node);
    }
    fleet.run_until(start + RESTARTS_MS + 10_000);
    let ready = times.iter().map(|(at, node)| {
        let (ready, _) = fleet.nodes[*node].ready.last()?;
        ready.checked_sub(*at)
    });
    let latencies = ready.collect();
    before.finish(fleet, "all restarted within 60 s, until ready", latencies)
}

/// Measures the validation of the largest declaration, also as a ratio to parsing its texts as INI.
fn measure_validation() {
    let keys = texts_for(440, 17).keys(0);
    let bytes: usize = keys.iter().map(|key| key.text.len()).sum();
    let set = KeySet::new(make_head(1, &keys), keys);
    let mut ratios = Vec::new();
    let mut millis = Vec::new();
    for _ in 0..9 {
        let start = Instant::now();
        let sections: usize = set
            .keys()
            .iter()
            .map(|key| IniFile::parse(&key.text).sections.len())
            .sum();
        let parsed = start.elapsed();
        let start = Instant::now();
        let targets = validate_set(&set).map_or(0, |fleet| fleet.targets.len());
        let validated = start.elapsed();
        assert!(sections > targets && targets > 0);
        ratios.push(validated.as_secs_f64() / parsed.as_secs_f64());
        millis.push(validated.as_secs_f64() * 1_000.0);
    }
    ratios.sort_by(f64::total_cmp);
    millis.sort_by(f64::total_cmp);
    let share = millis[4] * 8_100.0 / 86_400_000.0 * 100.0;
    println!(
        "\nvalidation of {bytes} bytes: {:.1} times the INI parsing of its texts (min {:.1}, max \
         {:.1}); {:.1} ms, or {share:.2} % of a core at 8,100 changes a day",
        ratios[4], ratios[0], ratios[8], millis[4],
    );
}
