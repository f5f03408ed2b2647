use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Load state of one version on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Requests can use the version.
    Ready,
    /// The target is loading the weights.
    Loading,
    /// The load failed.
    Failed {
        /// Reason that the target reports.
        reason: SmolStr,
        /// Whether memory was insufficient, in which case unloading another version may help.
        memory_full: bool,
    },
}

impl LoadState {
    /// Creates a failure that is not due to insufficient memory.
    pub fn failed(reason: &str) -> Self {
        Self::Failed {
            reason: SmolStr::new(reason),
            memory_full: false,
        }
    }

    /// Creates a failure due to insufficient memory.
    pub fn memory_full(reason: &str) -> Self {
        Self::Failed {
            reason: SmolStr::new(reason),
            memory_full: true,
        }
    }
}
