use std::fmt;

use base::{AdapterName, ModelName, VersionName};

/// Identifies the weights of one version of a model, or of an adapter for that version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightKey {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapter; `None` for the model itself.
    pub adapter: Option<AdapterName>,
}

impl WeightKey {
    /// Creates the key of the weights of a model version.
    pub fn new(model: ModelName, version: VersionName) -> Self {
        Self {
            model,
            version,
            adapter: None,
        }
    }

    /// Returns this key for an adapter of the model.
    #[must_use]
    pub fn with_adapter(mut self, adapter: AdapterName) -> Self {
        self.adapter = Some(adapter);
        self
    }
}

impl fmt::Display for WeightKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.model, self.version)?;
        match &self.adapter {
            Some(adapter) => write!(f, "+{adapter}"),
            None => Ok(()),
        }
    }
}
