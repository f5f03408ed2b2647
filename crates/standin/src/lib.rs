//! Stand-ins for what surrounds the system: the platform, model engines and plain services.

mod app;
mod engine;
mod history;
mod platform;

pub use app::{AppHandle, AppServer};
pub use engine::{
    EngineHandle, EngineServer, EngineSettings, TokenMark, parse_tokens, parse_weights, token_text,
};
pub use history::{RunLog, RunRecord};
pub use platform::{KvEntry, KvStore, ListedNode, PlatformFault, PlatformHandle, PlatformServer};
