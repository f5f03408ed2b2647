use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Progress of the weights of one version on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Requests can use the version.
    Ready,
    /// The weights are on their way.
    Loading,
    /// The load failed.
    Failed {
        /// What the target says.
        reason: SmolStr,
        /// Whether the reason is a lack of memory, which unloading another version may cure.
        memory_full: bool,
    },
}

impl LoadState {
    /// Creates a failure for another reason than a lack of memory.
    pub fn failed(reason: &str) -> Self {
        Self::Failed {
            reason: SmolStr::new(reason),
            memory_full: false,
        }
    }

    /// Creates a failure for lack of memory.
    pub fn memory_full(reason: &str) -> Self {
        Self::Failed {
            reason: SmolStr::new(reason),
            memory_full: true,
        }
    }
}
