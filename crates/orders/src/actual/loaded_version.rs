use std::fmt;

use base::{AdapterName, ByteRate, ModelName, VersionName};
use serde::{Deserialize, Serialize};

use super::LoadState;

/// One version of a model that a target has loaded, is loading or failed to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedVersion {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: VersionName,
    /// Load state of the weights.
    pub state: LoadState,
    /// Adapters that requests can use, sorted.
    pub adapters: Vec<AdapterName>,
    /// Rate of the load in progress, if the target reports it.
    pub load_rate: Option<ByteRate>,
}

impl LoadedVersion {
    /// Creates an entry without adapters.
    pub fn new(model: ModelName, version: VersionName, state: LoadState) -> Self {
        Self {
            model,
            version,
            state,
            adapters: Vec::new(),
            load_rate: None,
        }
    }

    /// Tells whether requests can use the version.
    pub fn is_ready(&self) -> bool {
        self.state == LoadState::Ready
    }

    /// Tells whether the target is loading the weights.
    pub fn is_loading(&self) -> bool {
        self.state == LoadState::Loading
    }

    /// Tells whether requests can use this adapter.
    pub fn has_adapter(&self, adapter: &AdapterName) -> bool {
        self.adapters.contains(adapter)
    }
}

impl fmt::Display for LoadedVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.model, self.version)?;
        for adapter in &self.adapters {
            write!(f, "+{adapter}")?;
        }
        match &self.state {
            LoadState::Ready => Ok(()),
            LoadState::Loading => f.write_str("(loading)"),
            LoadState::Failed { reason, .. } => write!(f, "(failed: {reason})"),
        }
    }
}
