//! Speed and size of an engine.

mod engine_profile;

pub use engine_profile::EngineProfile;
