//! Reports as text, JSON and a page with plots.

mod experiment_report;
mod measure_metric;
mod plot_page;
mod text_table;

pub use experiment_report::{ExperimentReport, RatioSpread, TrialRow};
pub use measure_metric::MeasureMetric;
pub use plot_page::render_page;
pub use text_table::render_text;
