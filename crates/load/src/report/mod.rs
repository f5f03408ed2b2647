//! Reports of experiments and HTTP runs as Markdown, JSON and HTML.

mod experiment_report;
mod json_report;
mod metric_kind;
mod outcome_text;
mod plot_page;
mod text_table;

pub use experiment_report::{ComparisonRow, ExperimentReport, TrialRow, ValueSpread};
pub use json_report::render_json;
pub use metric_kind::MetricKind;
pub use outcome_text::{render_outcome, render_outcome_json, render_outcome_page};
pub use plot_page::render_page;
pub use text_table::{render_metrics, render_text};
