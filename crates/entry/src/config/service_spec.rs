use base::{CallRate, ServiceName, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

/// Capacity and abilities of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Number of tokens whose state fits in its memory.
    pub memory: TokenCount,
    /// Whether running generations can be moved to another engine.
    pub can_move: bool,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
    /// Rate at which the memory of tokens is copied to an engine of the same failure domain.
    pub copy_rate: TokenRate,
}

/// Number of slots that stands for those which each target registers.
const REGISTERED_SLOTS: u32 = u32::MAX;

impl EngineSpec {
    /// Capacity by which calls to a plain service are placed as on engines: only the slots of each target
    /// count.
    ///
    /// ```
    /// assert!(!entry::EngineSpec::of_plain_service().can_move);
    /// ```
    pub fn of_plain_service() -> Self {
        Self {
            slots: REGISTERED_SLOTS,
            memory: TokenCount(u32::MAX),
            can_move: false,
            event_tokens: 1,
            copy_rate: TokenRate(0),
        }
    }

    /// Slots of a target that registers `registered` ones.
    ///
    /// ```
    /// assert_eq!(entry::EngineSpec::of_plain_service().slots_of(6), 6);
    /// ```
    pub fn slots_of(&self, registered: u32) -> u32 {
        match self.slots {
            REGISTERED_SLOTS => registered.max(1),
            slots => slots,
        }
    }
}

/// A service as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Engine data, present if the targets of the service are model engines.
    pub engine: Option<EngineSpec>,
    /// Rate of requests that each target can handle while it is cold, from all nodes together; `None`
    /// without a bound.
    pub cold_rate: Option<CallRate>,
}
