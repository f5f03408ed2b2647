//! Reports of experiments and HTTP runs as Markdown, JSON and HTML.

mod experiment_json;
mod experiment_page;
mod experiment_report;
mod experiment_text;
mod metric_kind;
mod outcome_text;

pub use experiment_json::render_experiment_json;
pub use experiment_page::render_experiment_page;
pub use experiment_report::{ComparisonRow, ExperimentReport, TrialRow, ValueSpread};
pub use experiment_text::{render_experiment_text, render_metrics};
pub use metric_kind::MetricKind;
pub use outcome_text::{render_outcome, render_outcome_json, render_outcome_page};
