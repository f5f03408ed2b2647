//! Reports as text, JSON and a page with plots.

mod experiment_report;
mod json_text;
mod measure_metric;
mod outcome_text;
mod plot_page;
mod text_table;

pub use experiment_report::{ComparisonRow, ExperimentReport, RatioSpread, TrialRow};
pub use json_text::render_json;
pub use measure_metric::MeasureMetric;
pub use outcome_text::{render_outcome, render_outcome_json, render_outcome_page};
pub use plot_page::render_page;
pub use text_table::{render_measures, render_text};
