//! A set of trials over workloads, loads, policies and seeds.

mod experiment_plan;
mod experiment_run;

pub use experiment_plan::ExperimentPlan;
pub use experiment_run::run_experiment;
