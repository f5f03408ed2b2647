//! Time inside the model.

mod engine_time;

pub use engine_time::EngineTime;
