use std::fmt::Write;

use strum::IntoEnumIterator;

use super::{ExperimentReport, MetricKind, ValueSpread};
use crate::{MetricsSummary, WorkloadKind};

/// Renders an experiment as Markdown tables: the medians over the seeds and, in parentheses, the
/// minimum, median and maximum ratio to the best baseline with the same seed.
pub fn render_experiment_text(report: &ExperimentReport) -> String {
    let mut text = String::new();
    // Writing to a string doesn't fail, so results of `writeln!` are dropped here and below.
    let _ = writeln!(
        text,
        "{} nodes, {} engines of {} tokens memory, seeds {:?}",
        report.nodes, report.engines, report.memory_tokens, report.seeds
    );
    for (workload, capacity) in &report.capacities {
        let _ = writeln!(
            text,
            "{workload}: one engine carries {:.0} tok/s or {:.2} requests/s \
             (mean output {:.0} tokens, {:.1} sequences in the batch, \
             {:.0} preemptions per 1000)",
            capacity.tokens_per_s,
            capacity.requests_per_s,
            capacity.mean_output,
            capacity.mean_batch,
            capacity.preemptions_per_1000
        );
    }
    for condition in report.conditions() {
        render_condition(&mut text, report, condition);
    }
    render_cost(&mut text, report);
    text
}

/// Renders the metrics of a single run as a Markdown table.
pub fn render_metrics(metrics: &MetricsSummary) -> String {
    let mut text = String::from("| measure | value |\n|---|---|\n");
    for metric in MetricKind::iter() {
        let value = metric.value(metrics).map_or("-".to_string(), render_number);
        let _ = writeln!(text, "| {metric} | {value} |");
    }
    let requests = metrics.quick.requests + metrics.long.requests;
    let complete = metrics.quick.complete + metrics.long.complete;
    let _ = writeln!(text, "| requests | {requests} |\n| complete | {complete} |");
    let _ = writeln!(text, "| refused | {:?} |", metrics.refusals);
    let _ = writeln!(text, "| failed | {:?} |", metrics.failures);
    let _ = writeln!(text, "| unfinished | {} |", metrics.unfinished);
    text
}

fn render_condition(text: &mut String, report: &ExperimentReport, condition: (WorkloadKind, f64)) {
    let policies = report.policies();
    let _ = writeln!(text, "\n### {} at load {}\n", condition.0, condition.1);
    let _ = writeln!(text, "| measure | {} |", policies.join(" | "));
    let _ = writeln!(text, "|---|{}", "---|".repeat(policies.len()));
    for metric in MetricKind::iter() {
        let cell = |policy: &&str| {
            let spread = report.spread(condition, policy, metric);
            let ratio = report.ratio(condition, policy, metric);
            format!("{} ({})", render_median(spread), render_ratio(ratio))
        };
        let cells: Vec<_> = policies.iter().map(cell).collect();
        let _ = writeln!(text, "| {metric} | {} |", cells.join(" | "));
    }
    let cell = |policy: &&str| {
        render_ratio(report.uncongested_ratio(condition, policy, MetricKind::QuickGapP99))
    };
    let cells: Vec<_> = policies.iter().map(cell).collect();
    let _ = writeln!(
        text,
        "| quick_gap_p99 to uncongested | {} |",
        cells.join(" | ")
    );
}

fn render_cost(text: &mut String, report: &ExperimentReport) {
    let _ = writeln!(
        text,
        "\n### Cost of decisions, mean over all trials (processor times of this run)\n\n\
         | policy | submit p50 ns | submit p99 ns | ns per dispatch | digest B/s per node | \
         probe B/s per node | wasted share | unfinished | failed | illegal actions |\n\
         |---|---|---|---|---|---|---|---|---|---|"
    );
    for policy in report.policies() {
        let rows: Vec<_> = report
            .rows
            .iter()
            .filter(|row| row.policy == policy)
            .collect();
        let costs = rows.iter().filter_map(|row| row.metrics.cost.as_ref());
        let costs: Vec<_> = costs.collect();
        let count = costs.len().max(1) as f64;
        let mean = |value: fn(&crate::CostSummary) -> f64| {
            costs.iter().map(|cost| value(cost)).sum::<f64>() / count
        };
        let wasted: f64 = rows.iter().filter_map(|row| row.metrics.wasted_share).sum();
        let unfinished: u64 = rows.iter().map(|row| row.metrics.unfinished).sum();
        let failed: u64 = rows.iter().map(|row| row.metrics.failed()).sum();
        let illegal: u64 = costs.iter().map(|cost| cost.illegal_actions).sum();
        let _ = writeln!(
            text,
            "| {policy} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.4} | {unfinished} | \
             {failed} | {illegal} |",
            mean(|cost| cost.submit_p50_ns as f64),
            mean(|cost| cost.submit_p99_ns as f64),
            mean(|cost| cost.policy_ns_per_dispatch),
            mean(|cost| cost.digest_bytes_per_s),
            mean(|cost| cost.probe_bytes_per_s),
            wasted / rows.len().max(1) as f64,
        );
    }
}

fn render_median(spread: Option<ValueSpread>) -> String {
    match spread {
        None => "-".to_string(),
        Some(spread) => render_number(spread.median),
    }
}

fn render_ratio(spread: Option<ValueSpread>) -> String {
    let Some(spread) = spread else {
        return "-".to_string();
    };
    let [min, median, max] = [spread.min, spread.median, spread.max].map(render_number);
    format!("×{min}/{median}/{max}")
}

fn render_number(value: f64) -> String {
    match value {
        value if value.is_infinite() => "inf".to_string(),
        value if value.abs() >= 100.0 => format!("{value:.0}"),
        value if value.abs() >= 10.0 => format!("{value:.1}"),
        value => format!("{value:.2}"),
    }
}
