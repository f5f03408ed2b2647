//! Simulation of callers, nodes, connections and targets in virtual time, driving the real decision
//! logic of the crate under injected faults.
//!
//! Parameters named `at` are the index of a node or target. The guarantees that the tests check:
//!
//! - P1: the caller gets each token of one generation once, in order and without gaps.
//! - P2: an answer counts as complete only if all of it has arrived.
//! - P3: a caller is told "not run" only if the request did not run.
//! - P4: a request that is not idempotent runs at most once.
//! - P5: a target that is leaving gets no new work; the checker allows 3 s.
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
