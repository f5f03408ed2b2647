//! Prints the bytes, messages and processor time that the membership tables cost, in virtual time.
//!
//! `cargo run --release -p member --example traffic -- SEED`

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use base::IncarnationNumber;
use member::{ObservationSource, TargetObservation, TargetState};
use support::FakeNetwork;

/// Bytes that HTTP, the authentication code and TCP add to a message and its empty answer.
const OVERHEAD: u64 = 400;

/// Share of a node's budget of 11 KB/s that membership may use.
const BUDGET: u64 = 11 * 1_024 / 3;

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!("seed {seed}, {OVERHEAD} bytes of overhead a message, budget {BUDGET} B/s");
    println!(
        "fleet           phase            payload B/s  with overhead  max node  msg/s  cpu %  sync %"
    );
    for (domains, count, targets) in [(1, 8, 16), (1, 26, 288), (17, 26, 288)] {
        measure_fleet(domains, count, targets, seed);
    }
}

fn measure_fleet(domains: usize, count: usize, targets: usize, seed: u64) {
    let label = format!("{domains}x{count}, {targets} t");
    let mut network = FakeNetwork::new(domains, count, seed, Default::default());
    for index in 0..network.nodes.len() {
        network.start(index);
    }
    measure(&mut network, &label, "start, 20 s", 20, |_, _| {});
    observe_targets(&mut network, count, targets);
    measure(&mut network, &label, "targets, 20 s", 20, |_, _| {});
    network.run(300_000);
    measure(&mut network, &label, "steady, 60 s", 60, |_, _| {});
    println!("  agrees: {}", network.views_converged());
    let total = network.nodes.len();
    // 1,400 restarts a day in 440 nodes are one in 27,154 s and node.
    let gap = (27_154.0 / total as f64).max(1.0) as u64;
    let span = if total > 100 { 300 } else { gap * 2 };
    measure(&mut network, &label, "churn", span, |network, second| {
        if second % gap == gap / 2 {
            network.start(second as usize * 7 % total);
        }
    });
    network.run(20_000);
    println!("  agrees: {}", network.views_converged());
    measure(
        &mut network,
        &label,
        "storm, 60 s",
        60,
        |network, second| {
            let from = second as usize * total / 60;
            let to = (second as usize + 1) * total / 60;
            (from..to).for_each(|index| network.start(index));
        },
    );
    measure(&mut network, &label, "after, 20 s", 20, |_, _| {});
    println!(
        "  agrees: {}, largest message {} B",
        network.views_converged(),
        network.largest_message
    );
    for (kind, (messages, bytes)) in &network.traffic_by_kind {
        println!("  {kind}: {messages} messages, {bytes} B");
    }
}

/// Has the nodes of each domain report the targets alive, each target by one node.
fn observe_targets(network: &mut FakeNetwork, count: usize, targets: usize) {
    for index in 0..network.nodes.len() {
        for target in (index % count..targets).step_by(count) {
            let domain = network.nodes[index].domain.clone();
            let observation = TargetObservation {
                target: format!("{domain}-quill-{target}")
                    .parse()
                    .expect("a valid name"),
                domain,
                incarnation: Some(IncarnationNumber(1_700_000_000_000 << 20)),
                state: TargetState::Alive,
                source: ObservationSource::HealthCheck,
            };
            network.observe(index, &observation);
        }
    }
}

fn measure(
    network: &mut FakeNetwork,
    label: &str,
    phase: &str,
    seconds: u64,
    mut step: impl FnMut(&mut FakeNetwork, u64),
) {
    let before: Vec<(u64, u64)> = network
        .nodes
        .iter()
        .map(|node| (node.sent_bytes, node.sent_messages))
        .collect();
    let old_sync = sync_bytes(network);
    let begin = Instant::now();
    for second in 0..seconds {
        step(network, second);
        network.run(1_000);
    }
    let cpu = begin.elapsed().as_secs_f64();
    let count = network.nodes.len() as u64;
    let mut bytes = 0;
    let mut messages = 0;
    let mut largest = 0;
    for (node, (old_bytes, old_messages)) in network.nodes.iter().zip(&before) {
        let own_bytes = node.sent_bytes - old_bytes;
        let own_messages = node.sent_messages - old_messages;
        bytes += own_bytes;
        messages += own_messages;
        largest = largest.max(own_bytes + own_messages * OVERHEAD);
    }
    let scale = count * seconds;
    println!(
        "{label:15} {phase:16} {:11} {:14} {:9} {:6.1} {:6.3} {:7.1}",
        bytes / scale,
        (bytes + messages * OVERHEAD) / scale,
        largest / seconds,
        messages as f64 / scale as f64,
        cpu * 100.0 / scale as f64,
        (sync_bytes(network) - old_sync) as f64 * 100.0 / bytes as f64,
    );
}

/// Payload bytes of all anti-entropy syncs.
fn sync_bytes(network: &FakeNetwork) -> u64 {
    let kinds = network.traffic_by_kind.iter();
    let sync = kinds.filter(|(kind, _)| kind.starts_with("sync"));
    sync.map(|(_, (_, bytes))| bytes).sum()
}
