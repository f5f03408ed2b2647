mod fake_engine;
mod fake_policy;

pub use fake_engine::FakeEngine;
pub use fake_policy::{FakePolicy, PolicyLog};
