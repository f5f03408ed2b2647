//! Simulation of platform, membership and network links in virtual time, for tests and benchmarks.

#![allow(dead_code)]

mod cached_validator;
mod fake_fleet;
mod fake_node;
mod fake_platform;
mod fleet_texts;

pub use cached_validator::CachedValidator;
pub use fake_fleet::{FakeConfig, FakeFleet};
pub use fake_node::FakeNode;
pub use fake_platform::FakePlatform;
pub use fleet_texts::FleetTexts;
