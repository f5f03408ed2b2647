//! Stand-in for a model engine: an OpenAI-compatible HTTP API on top of the engine simulator.

mod call_body;
mod engine_api;
mod engine_handle;
mod engine_settings;
mod engine_state;
mod token_text;

pub use call_body::parse_weight_key;
pub use engine_handle::{EngineHandle, EngineServer};
pub use engine_settings::EngineSettings;
pub use token_text::{TokenOrigin, parse_tokens, token_text};
