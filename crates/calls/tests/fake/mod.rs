//! Callers, nodes, links and targets in virtual time around the real decision logic.
#![allow(dead_code, unused_imports)]

mod caller;
mod config;
mod message;
mod node;
mod target;
mod world;

pub use config::{Fault, Scheme, Switches, WorldConfig, WorldReport};
pub use world::World;
