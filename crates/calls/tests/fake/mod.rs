//! Callers, nodes, links and targets in virtual time around the real decision logic.
// The example `refusals` uses only a part of what the tests use.
#![allow(dead_code, unused_imports)]

mod call;
mod caller;
mod config;
mod life;
mod link;
mod message;
mod node;
mod owner;
mod target;
mod world;

pub use config::{Fault, Scheme, Switches, WorldConfig, WorldReport};
pub use world::World;
