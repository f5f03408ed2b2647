//! Stand-ins for the external systems, used by tests and demos: the platform, model engines and
//! plain services.

mod engine;
mod history;
mod platform;
mod service;

pub use engine::{
    EngineHandle, EngineServer, EngineSettings, TokenOrigin, parse_tokens, parse_weight_key,
    token_text,
};
pub use history::{RunLog, RunRecord};
pub use platform::{
    KvEntry, ListedVm, PlatformFault, PlatformHandle, PlatformServer, PlatformStore,
};
pub use service::{ServiceHandle, ServiceServer};
