use serde::Serialize;

use super::{ComparisonRow, ExperimentReport};

#[derive(Serialize)]
struct ReportJson<'a> {
    report: &'a ExperimentReport,
    comparisons: Vec<ComparisonRow>,
}

/// Renders an experiment as JSON: all trials and their comparisons. Infinite ratios are written
/// as `null`.
pub fn render_experiment_json(report: &ExperimentReport) -> String {
    let text = ReportJson {
        report,
        comparisons: report.comparisons(),
    };
    // Plain data with text keys can always be written.
    serde_json::to_string_pretty(&text).expect("plain data")
}
