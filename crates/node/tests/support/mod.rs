// Each test file uses a part of this module.
#![allow(dead_code, unused_imports)]

mod fake_engine;
mod fake_policy;
mod relay_scene;
mod tiny_engine;

pub use fake_engine::FakeEngine;
pub use fake_policy::{FakePolicy, PolicyLog};
pub use relay_scene::RelayScene;
pub use tiny_engine::{TinyEngine, TinyLog, TinyScript};
