//! The simulator: its public methods, the scheduling of steps, and the loading of weights.

mod engine_simulator;
mod step_scheduler;
mod weight_loading;

pub use engine_simulator::EngineSimulator;
