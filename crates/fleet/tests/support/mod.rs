//! A small fake of platform, membership and links in virtual time, for tests and measurements.

#![allow(dead_code)]

mod cached_acceptance;
mod fake_fleet;
mod fake_node;
mod fake_platform;
mod fleet_texts;

pub use cached_acceptance::CachedAcceptance;
pub use fake_fleet::{FakeConfig, FakeFleet};
pub use fake_node::FakeNode;
pub use fake_platform::FakePlatform;
pub use fleet_texts::FleetTexts;
