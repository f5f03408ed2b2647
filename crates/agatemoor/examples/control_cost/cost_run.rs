use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use base::{EventKind, EventRecord};
use serde_json::Value;
use tokio::time::sleep;

use crate::AnyError;
use crate::cost_fleet::{CostFleet, wall_millis};
use crate::cost_plan::CostPlan;
use crate::message_overhead::MessageOverhead;
use crate::node_process::NodeCounters;

/// Pause between two published changes of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(10);
/// Wait after a burst before the events of the nodes are read.
const BURST_WAIT: Duration = Duration::from_secs(8);
/// Milliseconds of a tick of CPU time.
const TICK_MS: f64 = 10.0;

/// Counters of the fleet at one point in time.
struct CounterSnapshot {
    at: Instant,
    counters: Vec<NodeCounters>,
    probes: [u64; 3],
    calls: u64,
}

impl CounterSnapshot {
    async fn new(fleet: &CostFleet) -> Result<Self, AnyError> {
        let probes = &fleet.probes;
        Ok(Self {
            at: Instant::now(),
            counters: fleet.counters().await?,
            probes: [&probes.probes, &probes.received, &probes.sent]
                .map(|count| count.load(Ordering::Relaxed)),
            calls: fleet.platform.calls(),
        })
    }
}

/// Starts a fleet, measures it idle and, if planned, in a burst and during restarts.
pub async fn run(
    plan: &CostPlan,
    program: &Path,
    nodes: usize,
    targets: usize,
    overhead: &MessageOverhead,
) -> Result<(), AnyError> {
    let begin = Instant::now();
    let fleet = CostFleet::start(program, plan.domains, nodes, targets, plan.varied).await;
    let mut fleet = fleet?;
    let name = program.file_name().unwrap_or_default().to_string_lossy();
    println!(
        "\n{name}: {nodes} nodes, {} domains, {targets} targets a node, declaration {} B, up after \
         {:.1} s",
        plan.domains,
        fleet.declaration_bytes(),
        begin.elapsed().as_secs_f64()
    );
    sleep(Duration::from_secs(plan.settle)).await;
    let start = CounterSnapshot::new(&fleet).await?;
    sleep(Duration::from_secs(plan.seconds)).await;
    print_costs("idle", &start, &fleet, overhead).await?;
    if plan.burst > 0 {
        measure_burst(plan.burst, &fleet, overhead).await?;
    }
    if plan.storm > 0 {
        measure_restarts(plan.storm, &mut fleet, overhead).await?;
    }
    Ok(())
}

/// Prints what each kind of message, the probes and the processes cost since `start`.
async fn print_costs(
    phase: &str,
    start: &CounterSnapshot,
    fleet: &CostFleet,
    overhead: &MessageOverhead,
) -> Result<(), AnyError> {
    let now = CounterSnapshot::new(fleet).await?;
    let seconds = (now.at - start.at).as_secs_f64();
    let nodes = fleet.nodes.len() as f64;
    let pairs = now.counters.iter().zip(&start.counters);
    let spent: Vec<NodeCounters> = pairs
        .map(|(new, old)| new.combine(old, u64::saturating_sub))
        .collect();
    println!(
        "| {phase} | kind | messages/s a node | body B/s | with head and reply B/s | busiest node |"
    );
    println!("|---|---|---|---|---|---|");
    let mut kinds: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for count in &spent {
        let mut all = (0, 0);
        for (kind, figures) in &count.kinds {
            kinds.entry(kind).or_default().push(*figures);
            all = (all.0 + figures.0, all.1 + figures.1);
        }
        kinds.entry("~all").or_default().push(all);
    }
    for (kind, figures) in &kinds {
        let messages = figures.iter().map(|figures| figures.0).sum::<u64>() as f64;
        let bytes = figures.iter().map(|figures| figures.1).sum::<u64>() as f64;
        let total_bytes =
            |messages: u64, bytes: u64| bytes + messages * (overhead.request + overhead.reply);
        let busiest = figures
            .iter()
            .map(|figures| total_bytes(figures.0, figures.1))
            .max();
        let all = figures
            .iter()
            .map(|figures| total_bytes(figures.0, figures.1))
            .sum::<u64>() as f64;
        println!(
            "| {phase} | {kind} | {:.2} | {:.0} | {:.0} | {:.0} |",
            messages / seconds / nodes,
            bytes / seconds / nodes,
            all / seconds / nodes,
            busiest.unwrap_or_default() as f64 / seconds,
        );
    }
    let probes = [0, 1, 2].map(|at| (now.probes[at] - start.probes[at]) as f64 / seconds / nodes);
    println!(
        "{phase}: {:.2} probes/s a node, {:.0} B/s sent, {:.0} B/s received for them",
        probes[0], probes[1], probes[2]
    );
    let ticks: Vec<f64> = spent.iter().map(|count| count.ticks as f64).collect();
    let cpu = |ticks: f64| ticks * TICK_MS / 10.0 / seconds;
    let resident: Vec<u64> = fleet
        .nodes
        .iter()
        .map(|node| node.resident())
        .collect::<Result<_, _>>()?;
    println!(
        "{phase}: CPU {:.2}% of a core a node (busiest {:.2}%), memory {:.1} MiB (largest \
         {:.1}), platform {:.2} calls/s in total, {seconds:.1} s",
        cpu(ticks.iter().sum::<f64>() / nodes),
        cpu(ticks.iter().copied().fold(0.0, f64::max)),
        resident.iter().sum::<u64>() as f64 / 1_024.0 / nodes,
        *resident.iter().max().unwrap_or(&0) as f64 / 1_024.0,
        (now.calls - start.calls) as f64 / seconds,
    );
    Ok(())
}

/// Publishes changes in quick succession and measures, from the events of the nodes, how long each
/// took to come into effect.
async fn measure_burst(
    changes: u64,
    fleet: &CostFleet,
    overhead: &MessageOverhead,
) -> Result<(), AnyError> {
    let start = CounterSnapshot::new(fleet).await?;
    let mut published = Vec::new();
    for change in 1..=changes {
        published.push(wall_millis());
        fleet.publish(change);
        sleep(BURST_INTERVAL).await;
    }
    sleep(BURST_WAIT).await;
    print_costs("burst", &start, fleet, overhead).await?;
    let mut accepted = Vec::new();
    for node in &fleet.nodes {
        let path = format!("/ops/events?since={}.0", published[0]);
        let page: Value = serde_json::from_slice(&node.page(&fleet.caller, &path).await?)?;
        let events: Vec<EventRecord> = serde_json::from_value(page["events"].clone())?;
        let events = events
            .iter()
            .filter(|event| event.kind == EventKind::RevisionAccepted);
        let list: Vec<(u64, u64)> = events
            .filter_map(|event| Some((revision_index(&event.detail)?, event.time.wall)))
            .collect();
        accepted.push(list);
    }
    let last = accepted.iter().flatten().map(|(index, _)| *index).max();
    let last = last.ok_or("no change was accepted")?;
    let (mut each, mut everywhere, mut missing) = (Vec::new(), Vec::new(), 0);
    for (number, since) in published.iter().enumerate() {
        // Each publication raises the index of the stand-in platform by one.
        let index = last - (changes - 1 - number as u64);
        let mut latest = 0;
        for list in &accepted {
            let Some((_, at)) = list.iter().find(|(seen, _)| *seen >= index) else {
                missing += 1;
                continue;
            };
            let took = at.saturating_sub(*since);
            each.push(took);
            latest = latest.max(took);
        }
        everywhere.push(latest);
    }
    println!(
        "burst of {changes}: time to effect at each node p50 {} p99 {} max {} ms; everywhere \
         p50 {} p99 {} max {} ms; {missing} times a node missed a change",
        quantile(&mut each, 0.5),
        quantile(&mut each, 0.99),
        quantile(&mut each, 1.0),
        quantile(&mut everywhere, 0.5),
        quantile(&mut everywhere, 0.99),
        quantile(&mut everywhere, 1.0),
    );
    Ok(())
}

/// Index of a revision stamp such as `1.23 …`.
fn revision_index(detail: &str) -> Option<u64> {
    let (_, rest) = detail.split_once('.')?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn quantile(spans: &mut [u64], share: f64) -> u64 {
    spans.sort_unstable();
    let last = spans.len().saturating_sub(1);
    let at = (last as f64 * share).ceil() as usize;
    spans.get(at).copied().unwrap_or_default()
}

/// Restarts every node once within `seconds` and measures the cost, and the time until all are
/// ready.
async fn measure_restarts(
    seconds: u64,
    fleet: &mut CostFleet,
    overhead: &MessageOverhead,
) -> Result<(), AnyError> {
    let start = CounterSnapshot::new(fleet).await?;
    let count = fleet.nodes.len();
    let gap = Duration::from_secs(seconds) / count as u32;
    let begin = Instant::now();
    for number in 0..count {
        let due = gap * number as u32;
        sleep(due.saturating_sub(begin.elapsed())).await;
        let caller = fleet.caller.clone();
        fleet.nodes[number].kill(&caller).await?;
        fleet.start_node(number)?;
    }
    sleep(gap).await;
    print_costs("storm", &start, fleet, overhead).await?;
    let waited = fleet.wait_ready().await?;
    println!(
        "storm: all ready {:.1} s after the last restart",
        waited.as_secs_f64()
    );
    Ok(())
}
