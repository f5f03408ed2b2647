// Each test file uses a part of this module.
#![allow(dead_code, unused_imports)]

mod fake_engine;
mod fake_policy;
mod relay_fixture;
mod scripted_engine;

pub use fake_engine::FakeEngine;
pub use fake_policy::{FakePolicy, PolicyLog};
pub use relay_fixture::RelayFixture;
pub use scripted_engine::{EngineLog, EngineScript, ScriptedEngine};
