//! Convergence report for operators.

mod convergence_report;
mod rollout_row;
mod target_row;

pub use convergence_report::ConvergenceReport;
pub use rollout_row::RolloutRow;
pub use target_row::TargetRow;
