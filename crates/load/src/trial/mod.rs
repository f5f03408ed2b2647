//! One experiment in virtual time: nodes with a policy each in front of modelled engines.

mod call_state;
mod capacity;
mod cost_book;
mod engine_cell;
mod engine_part;
mod event_queue;
mod node_part;
mod policy_entry;
mod trial_plan;
mod trial_run;
mod trial_setup;

pub use capacity::{EngineCapacity, measure_capacity};
pub use policy_entry::{NodeSeat, PolicyEntry, PolicyFactory};
pub use trial_plan::TrialPlan;
pub use trial_run::run_trial;
