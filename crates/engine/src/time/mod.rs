//! Time in the simulator.

mod engine_time;

pub use engine_time::EngineTime;
