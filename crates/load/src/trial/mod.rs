//! Discrete-event simulation of one trial: nodes, each with its own routing policy, in front
//! of modelled engines.

mod call_state;
mod capacity;
mod cost_recorder;
mod engine_handlers;
mod engine_slot;
mod event_queue;
mod node_handlers;
mod policy_entry;
mod trial_plan;
mod trial_run;
mod trial_setup;

pub use capacity::{EngineCapacity, measure_capacity};
pub use policy_entry::{NodeContext, PolicyEntry, PolicyFactory};
pub use trial_plan::TrialPlan;
pub use trial_run::run_trial;
