use base::{ClockTime, IncarnationNumber, ModelName, TargetName, VersionName};
use fleet::EngineRole;
use serde::{Deserialize, Serialize};

use super::LoadedVersion;
use crate::FencingNumber;

/// State of a target as one probe found it.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use orders::TargetActual;
/// let target = "e1".parse().unwrap();
/// let actual = TargetActual::new(target, IncarnationNumber(7), ClockTime::new(250));
/// assert!(!actual.is_loading());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetActual {
    /// Target.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
    /// Whether the target is about to be taken away.
    pub leaving: bool,
    /// Role in force, if the target reports one.
    pub role: Option<EngineRole>,
    /// Versions that the target holds, loads or failed to load.
    pub versions: Vec<LoadedVersion>,
    /// Requests in flight, if the target reports them.
    pub in_flight: Option<u32>,
    /// Highest fencing number that the target has seen, if it reports one.
    pub fencing: Option<FencingNumber>,
    /// When the probe was sent, by the clock of the observing node; what it found is not older.
    pub observed_at: ClockTime,
}

impl TargetActual {
    /// Creates the state of a target that holds nothing.
    pub fn new(target: TargetName, run: IncarnationNumber, observed_at: ClockTime) -> Self {
        Self {
            target,
            incarnation: run,
            leaving: false,
            role: None,
            versions: Vec::new(),
            in_flight: None,
            fencing: None,
            observed_at,
        }
    }

    /// Returns this state with one more version.
    #[must_use]
    pub fn with_version(mut self, version: LoadedVersion) -> Self {
        self.versions.push(version);
        self
    }

    /// Returns the entry of a version.
    pub fn version(&self, model: &ModelName, version: &VersionName) -> Option<&LoadedVersion> {
        let mut entries = self.versions.iter();
        entries.find(|entry| entry.model == *model && entry.version == *version)
    }

    /// Tells whether requests can use some version of the model here.
    pub fn serves(&self, model: &ModelName) -> bool {
        let mut entries = self.versions.iter();
        !self.leaving && entries.any(|entry| entry.model == *model && entry.is_ready())
    }

    /// Tells whether any weights are on their way.
    pub fn is_loading(&self) -> bool {
        self.versions.iter().any(LoadedVersion::is_loading)
    }
}
