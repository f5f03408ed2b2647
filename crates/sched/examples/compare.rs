//! Compares variants of `PeakPolicy` with baseline policies in simulations in virtual time.
//!
//! `cargo run --release -p sched --example compare -- policy=digests policy=two_choices/memory_share=0.1`
//!
//! Keys: `policy` (a mode and changed settings, any number of times), `workload`, `loads`,
//! `seeds`, `nodes`, `engines`, `domains`, `faults` (number of random faults, drawn with the first
//! seed), `baselines` (names), `format` (`short` or `long`). All are optional.

use base::ClockTime;
use load::{
    ExperimentPlan, ExperimentReport, FaultEvent, MetricKind, PolicyEntry, render_experiment_text,
    run_experiment,
};
use sched::{CoordinationMode, PeakPolicy, PolicySettings};

type AnyError = Box<dyn std::error::Error>;

fn main() -> Result<(), AnyError> {
    let mut plan = ExperimentPlan::default();
    let mut variants = Vec::new();
    let (mut faults, mut short) = (0, true);
    for arg in std::env::args().skip(1) {
        let (key, value) = arg.split_once('=').ok_or("expected KEY=VALUE")?;
        match key {
            "policy" => variants.push(parse_variant(value)?),
            "workload" => plan.workloads = vec![value.parse()?],
            "loads" => plan.loads = parse_list(value)?,
            "seeds" => plan.seeds = parse_list(value)?,
            "nodes" => plan.nodes = value.parse()?,
            "engines" => plan.engines = value.parse()?,
            "domains" => plan.domains = value.parse()?,
            "faults" => faults = value.parse()?,
            "baselines" => plan
                .policies
                .retain(|entry| value.split(',').any(|name| name == entry.name)),
            "format" => short = value == "short",
            _ => return Err(format!("unknown key {key}").into()),
        }
    }
    plan.policies.extend(variants);
    let from = ClockTime::ZERO + plan.warmup;
    let seed = plan.seeds.first().copied().unwrap_or(0);
    plan.faults = FaultEvent::draw_schedule(plan.engines, from, from + plan.window, faults, seed);
    let report = run_experiment(&plan)?;
    match short {
        true => print_short(&plan, &report),
        false => println!("{}", render_experiment_text(&report)),
    }
    Ok(())
}

fn parse_variant(text: &str) -> Result<PolicyEntry, AnyError> {
    let mut parts = text.split('/');
    let mode: CoordinationMode = parts.next().unwrap_or_default().parse()?;
    let mut settings = PolicySettings::with_mode(mode);
    for part in parts {
        let (key, value) = part.split_once('=').ok_or("expected KEY=VALUE")?;
        set_setting(&mut settings, key, value)?;
    }
    Ok(PolicyEntry::new(text, move |context| {
        let (node, domain) = (context.node.clone(), context.domain.clone());
        Box::new(PeakPolicy::new(
            settings.clone(),
            node,
            domain,
            context.seed,
        ))
    }))
}

fn set_setting(settings: &mut PolicySettings, key: &str, value: &str) -> Result<(), AnyError> {
    match key {
        "memory_share" => settings.memory_share = value.parse()?,
        "spread_reserve" => settings.deviation_reserve = value.parse()?,
        "quick_reserve" => settings.quick_reserve = value.parse()?,
        "quick_tokens" => settings.quick_tokens = value.parse()?,
        "sequence_limit" => settings.sequence_limit = value.parse()?,
        "prefill_limit" => settings.prefill_limit = value.parse()?,
        "token_delay_ms" => settings.token_delay_ms = value.parse()?,
        "starve_after" => settings.starve_after = value.parse()?,
        "quick_wait" => settings.quick_max_wait = value.parse()?,
        "long_wait" => settings.long_max_wait = value.parse()?,
        "prefix_points" => settings.prefix_bonus = value.parse()?,
        "digest_interval" => settings.digest_interval = value.parse()?,
        "probe_count" => settings.probe_count = value.parse()?,
        "probe_interval" => settings.probe_interval = value.parse()?,
        "probe_age" => settings.probe_max_age = value.parse()?,
        "probe_uses" => settings.probe_use_limit = value.parse()?,
        _ => return Err(format!("unknown setting {key}").into()),
    }
    Ok(())
}

fn parse_list<T: std::str::FromStr<Err: std::error::Error + 'static>>(
    text: &str,
) -> Result<Vec<T>, AnyError> {
    let parts = text.split(',').map(|part| part.parse());
    Ok(parts.collect::<Result<_, _>>()?)
}

/// Columns of the short table.
const SHORT_METRICS: [MetricKind; 9] = [
    MetricKind::StallTotal,
    MetricKind::StallQuick,
    MetricKind::Preemptions,
    MetricKind::QuickGapP99,
    MetricKind::LongGapP99,
    MetricKind::QuickFirstP99,
    MetricKind::LongCompletionP99,
    MetricKind::Goodput,
    MetricKind::Refusals,
];

fn print_short(plan: &ExperimentPlan, report: &ExperimentReport) {
    for &workload in &plan.workloads {
        for &load in &plan.loads {
            let names: Vec<_> = SHORT_METRICS.iter().map(ToString::to_string).collect();
            println!(
                "\n{workload} at load {load}, medians over seeds\n| policy | {} | digest B/s | probe B/s | ns/dispatch |",
                names.join(" | ")
            );
            for entry in &plan.policies {
                let rows = report.rows.iter().filter(|row| {
                    row.workload == workload && row.load == load && row.policy == entry.name
                });
                let rows: Vec<_> = rows.map(|row| &row.metrics).collect();
                let mut cells: Vec<_> = SHORT_METRICS
                    .iter()
                    .map(|metric| median(rows.iter().filter_map(|row| metric.value(row))))
                    .collect();
                let costs = || rows.iter().filter_map(|row| row.cost.as_ref());
                cells.push(median(costs().map(|cost| cost.digest_bytes_per_s)));
                cells.push(median(costs().map(|cost| cost.probe_bytes_per_s)));
                cells.push(median(costs().map(|cost| cost.policy_ns_per_dispatch)));
                println!("| {} | {} |", entry.name, cells.join(" | "));
            }
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> String {
    let mut values: Vec<_> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.get(values.len() / 2).copied().unwrap_or(f64::NAN);
    format!("{middle:.2}")
}
