//! Measures the distribution of revisions in virtual time and prints a table.
//!
//! `cargo run --release -p fleet --example spread -- SEED`

#[path = "../tests/support/mod.rs"]
mod support;

use std::env;
use std::time::Instant;

use fleet::{KeySet, accept, make_head};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schema::IniFile;
use support::{FakeConfig, FakeFleet, FleetTexts};

/// 8,100 changes a day.
const CHANGE_MS: u64 = 86_400_000 / 8_100;
const STEADY_MS: u64 = 600_000;
const BURST: u64 = 100;
const BURST_MS: u64 = 10;
const STORM_MS: u64 = 60_000;

/// Figures of one phase.
struct Phase {
    name: &'static str,
    latencies: Vec<u64>,
    missing: usize,
    calls_per_second: f64,
    peer_bytes: Vec<u64>,
    platform_bytes: Vec<u64>,
    seconds: f64,
}

/// Counters at the start of a phase.
struct Mark {
    at: u64,
    calls: u64,
    peer_bytes: Vec<u64>,
    platform_bytes: Vec<u64>,
}

impl Mark {
    fn new(fleet: &FakeFleet) -> Self {
        Self {
            at: fleet.now,
            calls: fleet.platform.calls,
            peer_bytes: fleet.nodes.iter().map(|node| node.sent_bytes).collect(),
            platform_bytes: fleet.nodes.iter().map(|node| node.platform_bytes).collect(),
        }
    }

    fn finish(self, fleet: &FakeFleet, name: &'static str, spans: Vec<Option<u64>>) -> Phase {
        let now = Self::new(fleet);
        let seconds = (now.at - self.at) as f64 / 1_000.0;
        let differences = |new: Vec<u64>, old: Vec<u64>| {
            let mut bytes: Vec<u64> = new.iter().zip(&old).map(|(new, old)| new - old).collect();
            bytes.sort_unstable();
            bytes
        };
        let missing = spans.iter().filter(|span| span.is_none()).count();
        let mut latencies: Vec<u64> = spans.into_iter().flatten().collect();
        latencies.sort_unstable();
        Phase {
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

impl Phase {
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
    // The baseline: every node watches the platform.
    for (nodes, domains) in [(8, 4), (64, 4), (440, 17)] {
        measure(nodes, domains, usize::MAX, seed);
    }
    measure_acceptance();
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
    steady(&mut fleet, &texts).print(nodes, label);
    burst(&mut fleet, &texts).print(nodes, label);
    storm(&mut fleet, seed).print(nodes, label);
}

fn steady(fleet: &mut FakeFleet, texts: &FleetTexts) -> Phase {
    let mark = Mark::new(fleet);
    let mut spans = Vec::new();
    for change in 1..=STEADY_MS / CHANGE_MS {
        let since = fleet.now;
        let stamp = fleet.publish(1, &texts.keys(change));
        fleet.run_for(CHANGE_MS);
        spans.extend(fleet.latencies(stamp, since));
    }
    mark.finish(fleet, "steady, 8,100 changes a day", spans)
}

fn burst(fleet: &mut FakeFleet, texts: &FleetTexts) -> Phase {
    let mark = Mark::new(fleet);
    let mut published = Vec::new();
    for change in 1..=BURST {
        let since = fleet.now;
        published.push((since, fleet.publish(1, &texts.keys(1_000_000 + change))));
        fleet.run_for(BURST_MS);
    }
    fleet.run_for(9_000);
    let spans = published
        .into_iter()
        .flat_map(|(since, stamp)| fleet.latencies(stamp, since));
    let spans = spans.collect();
    mark.finish(fleet, "burst of 100 in 1 s", spans)
}

/// Restarts every node within a minute; the spans are the times until each may serve again.
fn storm(fleet: &mut FakeFleet, seed: u64) -> Phase {
    let mark = Mark::new(fleet);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = fleet.now;
    let mut times: Vec<(u64, usize)> = (0..fleet.nodes.len())
        .map(|node| (start + rng.random_range(0..STORM_MS), node))
        .collect();
    times.sort_unstable();
    for (at, node) in &times {
        fleet.run_until(*at);
        fleet.kill(*node);
        fleet.start(*node);
    }
    fleet.run_until(start + STORM_MS + 10_000);
    let ready = times.iter().map(|(at, node)| {
        let (ready, _) = fleet.nodes[*node].ready.last()?;
        ready.checked_sub(*at)
    });
    let spans = ready.collect();
    mark.finish(fleet, "all restarted within 60 s, until ready", spans)
}

/// Cost of one acceptance of the largest declaration, as a ratio to splitting its texts.
fn measure_acceptance() {
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
        let split = start.elapsed();
        let start = Instant::now();
        let targets = accept(&set).map_or(0, |fleet| fleet.targets.len());
        let whole = start.elapsed();
        assert!(sections > targets && targets > 0);
        ratios.push(whole.as_secs_f64() / split.as_secs_f64());
        millis.push(whole.as_secs_f64() * 1_000.0);
    }
    ratios.sort_by(f64::total_cmp);
    millis.sort_by(f64::total_cmp);
    let share = millis[4] * 8_100.0 / 86_400_000.0 * 100.0;
    println!(
        "\nacceptance of {bytes} bytes: {:.1} times the splitting of its texts (min {:.1}, max \
         {:.1}); {:.1} ms, or {share:.2} % of a core at 8,100 changes a day",
        ratios[4], ratios[0], ratios[8], millis[4],
    );
}
