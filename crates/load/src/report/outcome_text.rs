use std::fmt::Write;

use super::render_metrics;
use crate::{ClassSummary, LoadOutcome};

/// Renders the result of a run over HTTP as Markdown tables.
pub fn render_outcome(outcome: &LoadOutcome) -> String {
    let mut text = render_metrics(&outcome.metrics);
    // Writing to a string doesn't fail.
    let _ = writeln!(
        text,
        "| lost token share | {:.4} |\n| wrong offsets | {} |\n| wrong counts | {} |\n\n\
         | class | requests | complete | stall total s | stall p95 ms | stall p99 ms | \
         first token p50 ms | first token p99 ms | gap p50 ms | gap p99 ms | gap p99.9 ms |\n\
         |---|---|---|---|---|---|---|---|---|---|---|",
        outcome.lost_share(),
        outcome.order_faults,
        outcome.count_faults
    );
    render_class(&mut text, "quick", &outcome.metrics.quick);
    render_class(&mut text, "long", &outcome.metrics.long);
    let _ = writeln!(
        text,
        "\n{} calls in {:.1} s, {} tokens received",
        outcome.calls, outcome.seconds, outcome.tokens
    );
    text
}

/// Renders the result of a run over HTTP as JSON.
pub fn render_outcome_json(outcome: &LoadOutcome) -> String {
    // Plain data with text keys can always be written.
    serde_json::to_string_pretty(outcome).expect("plain data")
}

/// Renders the result of a run over HTTP as an HTML page with bars of the high percentiles of
/// gaps and times to first token, and the Markdown tables.
pub fn render_outcome_page(outcome: &LoadOutcome) -> String {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>agatemoor load</title>\n\
         <style>body{font-family:sans-serif;margin:2em}pre{font-size:12px}</style>\n",
    );
    let metrics = &outcome.metrics;
    let bars = [
        ("quick gap p99", metrics.quick.gap_p99_ms),
        ("quick gap p99.9", metrics.quick.gap_p999_ms),
        ("long gap p99", metrics.long.gap_p99_ms),
        ("long gap p99.9", metrics.long.gap_p999_ms),
        ("quick first token p99", metrics.quick.first_token_p99_ms),
        ("long first token p99", metrics.long.first_token_p99_ms),
    ];
    let top = bars.iter().map(|bar| bar.1).fold(1.0, f64::max);
    for (name, value) in bars {
        let _ = writeln!(
            page,
            "<div>{name}: {value:.1} ms <meter min=\"0\" max=\"{top}\" value=\"{value}\"></meter></div>"
        );
    }
    let text = render_outcome(outcome);
    let text = text.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(page, "<pre>{text}</pre>");
    page
}

fn render_class(text: &mut String, name: &str, class: &ClassSummary) {
    let _ = writeln!(
        text,
        "| {name} | {} | {} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} | {:.1} |",
        class.requests,
        class.complete,
        class.stall_total_s,
        class.stall_p95_ms,
        class.stall_p99_ms,
        class.first_token_p50_ms,
        class.first_token_p99_ms,
        class.gap_p50_ms,
        class.gap_p99_ms,
        class.gap_p999_ms,
    );
}
