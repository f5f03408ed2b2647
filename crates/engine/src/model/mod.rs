//! The engine itself.

mod engine_model;
mod step_plan;
mod weight_part;

pub use engine_model::EngineModel;
