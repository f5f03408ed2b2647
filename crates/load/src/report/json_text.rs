use serde::Serialize;

use super::{ComparisonRow, ExperimentReport};

#[derive(Serialize)]
struct ReportText<'a> {
    report: &'a ExperimentReport,
    comparisons: Vec<ComparisonRow>,
}

/// Renders an experiment as JSON: all trials and their comparisons. An infinite ratio is
/// `null`.
pub fn render_json(report: &ExperimentReport) -> String {
    let text = ReportText {
        report,
        comparisons: report.comparisons(),
    };
    // Plain data with text keys can always be written.
    serde_json::to_string_pretty(&text).expect("plain data")
}
