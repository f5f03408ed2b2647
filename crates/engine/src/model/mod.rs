//! The engine itself.

mod engine_model;
mod step_plan;

pub use engine_model::EngineModel;
