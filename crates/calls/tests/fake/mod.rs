//! Callers, nodes, connections and targets in virtual time around the real decision logic.
// The example `refusals` uses only a part of what the tests use.
#![allow(dead_code, unused_imports)]

mod call;
mod caller;
mod claims;
mod config;
mod connection;
mod message;
mod node;
mod node_lifecycle;
mod simulation;
mod target;

pub use config::{FaultKind, GuardSwitches, KeyScheme, SimulationConfig, SimulationReport};
pub use simulation::Simulation;
