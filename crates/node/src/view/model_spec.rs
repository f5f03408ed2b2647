use std::fmt;
use std::str::FromStr;

use base::{AdapterName, ModelName, ParseError, VersionName};

/// Model that a request names, with an optional version and adapter: `MODEL`, `MODEL:VERSION`,
/// `MODEL+ADAPTER` or `MODEL:VERSION+ADAPTER`.
///
/// ```
/// let spec: node::ModelSpec = "quill:2+law".parse().unwrap();
/// assert_eq!(spec.version.as_ref().unwrap().as_str(), "2");
/// assert_eq!(spec.to_string(), "quill:2+law");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelSpec {
    /// Name of the model.
    pub model: ModelName,
    /// Version, if the request names one.
    pub version: Option<VersionName>,
    /// Adapter, if the request names one.
    pub adapter: Option<AdapterName>,
}

impl ModelSpec {
    /// Returns a copy of this specification with the given version.
    #[must_use]
    pub fn with_version(&self, version: VersionName) -> Self {
        let mut spec = self.clone();
        spec.version = Some(version);
        spec
    }
}

impl fmt::Display for ModelSpec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.model)?;
        if let Some(version) = &self.version {
            write!(f, ":{version}")?;
        }
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        Ok(())
    }
}

impl FromStr for ModelSpec {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let (rest, adapter) = match text.split_once('+') {
            Some((rest, adapter)) => (rest, Some(adapter.parse()?)),
            None => (text, None),
        };
        let (model, version) = match rest.split_once(':') {
            Some((model, version)) => (model, Some(version.parse()?)),
            None => (rest, None),
        };
        Ok(Self {
            model: model.parse()?,
            version,
            adapter,
        })
    }
}
