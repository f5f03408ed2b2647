//! Measures the time of single scheduling decisions with 30, 300 and 3,000 targets.
//!
//! `cargo run --release -p sched --example decide`
//!
//! Medians are also given as a ratio to the least-in-flight baseline in the same run.

use std::sync::Arc;
use std::time::Instant;

use base::{ByteCount, ClockTime, TargetName, TokenCount};
use load::baseline::{BaselinePolicy, SelectionRule};
use sched::{
    CallKind, CoordinationMode, DispatchOutcome, LoadReport, PeakPolicy, PolicySettings,
    RoutePolicy, SchedAction, TargetInfo, WorkItem,
};

type AnyError = Box<dyn std::error::Error>;

const IN_FLIGHT: usize = 500;
const DECISIONS: usize = 20_000;

fn main() -> Result<(), AnyError> {
    println!("| targets | policy | median µs | p99 µs | median over least in flight |");
    for count in [30, 300, 3_000] {
        let mut baseline = BaselinePolicy::new(SelectionRule::LeastInFlight, 1);
        let (base, base_p99) = measure(&mut baseline, count)?;
        println!("| {count} | least_in_flight | {base:.2} | {base_p99:.2} | 1.00 |");
        for mode in [CoordinationMode::Probes, CoordinationMode::Digests] {
            let settings = PolicySettings::with_mode(mode);
            let (node, domain) = ("node-1".parse()?, "patan".parse()?);
            let mut policy = PeakPolicy::new(settings, node, domain, 1);
            let (median, p99) = measure(&mut policy, count)?;
            let ratio = median / base;
            println!("| {count} | peak, {mode} | {median:.2} | {p99:.2} | {ratio:.2} |");
        }
    }
    Ok(())
}

/// Returns the median and the 99th percentile of the time to submit a request and drain the
/// actions, in microseconds, while the number of requests in flight is constant.
fn measure(policy: &mut dyn RoutePolicy, count: usize) -> Result<(f64, f64), AnyError> {
    let names = (0..count).map(|number| format!("t{number:04}").parse());
    let names: Arc<[TargetName]> = names.collect::<Result<Vec<_>, _>>()?.into();
    let mut actions = Vec::new();
    let mut now = ClockTime::new(1_000);
    add_targets(policy, now, &names)?;
    let mut running = std::collections::VecDeque::new();
    let mut times = Vec::with_capacity(DECISIONS);
    for number in 0..DECISIONS + IN_FLIGHT {
        now = ClockTime::new(1_000 + number as u64 * 30);
        let item = new_item(now, number, &names)?;
        let start = Instant::now();
        policy.submit(now, item);
        policy.drain_actions(&mut actions);
        let time = start.elapsed().as_nanos() as f64 / 1_000.0;
        if number >= IN_FLIGHT {
            times.push(time);
        }
        for action in actions.drain(..) {
            if let SchedAction::Dispatch { request, .. } = action {
                running.push_back(request);
            }
        }
        for request in running.iter().step_by(16) {
            policy.on_progress(now, request, TokenCount(number as u32 % 400));
        }
        while running.len() > IN_FLIGHT {
            let Some(request) = running.pop_front() else {
                break;
            };
            policy.on_finished(now, &request, DispatchOutcome::Complete);
        }
        if number % 100 == 0 {
            policy.on_tick(now);
        }
        policy.drain_actions(&mut actions);
        actions.clear();
    }
    times.sort_by(f64::total_cmp);
    Ok((times[times.len() / 2], times[times.len() * 99 / 100]))
}

/// Gives the policy its targets and a load report of each.
fn add_targets(
    policy: &mut dyn RoutePolicy,
    now: ClockTime,
    names: &[TargetName],
) -> Result<(), AnyError> {
    let mut list = Vec::new();
    for target in names {
        list.push(TargetInfo {
            target: target.clone(),
            domain: "patan".parse()?,
            usable: true,
            weight_bytes: ByteCount(0),
        });
    }
    policy.on_targets(now, &list);
    for target in names {
        let report = LoadReport {
            target: target.clone(),
            measured_at: now,
            running: 20,
            waiting: 0,
            used_pages: 4_000,
            cached_pages: 0,
            total_pages: 9_375,
            page_tokens: 16,
            preemptions: 0,
        };
        policy.on_report(now, report);
    }
    Ok(())
}

fn new_item(
    now: ClockTime,
    number: usize,
    names: &Arc<[TargetName]>,
) -> Result<WorkItem, AnyError> {
    Ok(WorkItem {
        request: format!("r{number}").parse()?,
        workspace: format!("w{}", number % 100).parse()?,
        weight: 1,
        queue_limit: 1_000,
        stream_limit: 1_000,
        model: Some("quill".parse()?),
        kind: CallKind::Chat,
        prompt_tokens: TokenCount(300),
        max_tokens: None,
        prefix: number as u64 % 50,
        candidates: names.clone(),
        excluded: Vec::new(),
        arrival: now,
        deadline: None,
    })
}
