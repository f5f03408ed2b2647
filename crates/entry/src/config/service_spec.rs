use base::{ServiceName, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

/// Size of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit in its memory.
    pub memory: TokenCount,
    /// Whether running generations can be moved to another engine.
    pub can_move: bool,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Tokens whose memory is copied to an engine of the same failure domain in a second.
    pub copy_rate: TokenRate,
}

/// A service as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Present if the targets are model engines.
    pub engine: Option<EngineSpec>,
}
