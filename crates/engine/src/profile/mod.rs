//! Speed, memory size and limits of an engine.

mod engine_profile;

pub use engine_profile::EngineProfile;
