use std::fmt;

use base::{AdapterName, ModelName, VersionName};

/// Names the weights of one version of a model, or of an adapter for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WeightKey {
    /// Model.
    pub model: ModelName,
    /// Version of the model.
    pub version: VersionName,
    /// Adapter; `None` for the model itself.
    pub adapter: Option<AdapterName>,
}

impl WeightKey {
    /// Names the weights of a model.
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
