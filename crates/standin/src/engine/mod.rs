//! Stand-in for a model engine: the OpenAI-compatible API over the engine model.

mod call_body;
mod engine_api;
mod engine_handle;
mod engine_settings;
mod engine_state;
mod token_text;

pub use call_body::parse_weights;
pub use engine_handle::{EngineHandle, EngineServer};
pub use engine_settings::EngineSettings;
pub use token_text::{TokenMark, parse_tokens, token_text};
