use base::{ClockTime, IncarnationNumber, ModelName, TargetName, VersionName};
use fleet::EngineRole;
use serde::{Deserialize, Serialize};

use super::LoadedVersion;
use crate::FencingNumber;

/// Actual state of a target as one probe found it.
///
/// ```
/// use base::{ClockTime, IncarnationNumber};
/// use orders::ActualState;
/// let target = "e1".parse().unwrap();
/// let actual = ActualState::new(target, IncarnationNumber(7), ClockTime::new(250));
/// assert!(!actual.is_loading());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActualState {
    /// Target.
    pub target: TargetName,
    /// Incarnation of the target; a restarted target has a new one.
    pub incarnation: IncarnationNumber,
    /// Whether the target is about to be removed by the platform.
    pub leaving: bool,
    /// Current role, if the target reports one.
    pub role: Option<EngineRole>,
    /// Versions that the target has loaded, is loading or failed to load.
    pub versions: Vec<LoadedVersion>,
    /// Requests in flight, if the target reports them.
    pub in_flight: Option<u32>,
    /// Highest fencing number that the target has seen, if it reports one.
    pub fencing: Option<FencingNumber>,
    /// When the probe was sent, by the clock of the observing node. The state found is at least as
    /// recent.
    pub observed_at: ClockTime,
}

impl ActualState {
    /// Creates the state of a target without any versions.
    pub fn new(target: TargetName, incarnation: IncarnationNumber, observed_at: ClockTime) -> Self {
        Self {
            target,
            incarnation,
            leaving: false,
            role: None,
            versions: Vec::new(),
            in_flight: None,
            fencing: None,
            observed_at,
        }
    }

    /// Returns this state with `version` added.
    #[must_use]
    pub fn with_version(mut self, version: LoadedVersion) -> Self {
        self.versions.push(version);
        self
    }

    /// Returns the entry for a version, if the target has one.
    pub fn version(&self, model: &ModelName, version: &VersionName) -> Option<&LoadedVersion> {
        let mut entries = self.versions.iter();
        entries.find(|entry| entry.model == *model && entry.version == *version)
    }

    /// Tells whether requests can use some version of the model on this target. A leaving target
    /// does not count.
    pub fn serves(&self, model: &ModelName) -> bool {
        let mut entries = self.versions.iter();
        !self.leaving && entries.any(|entry| entry.model == *model && entry.is_ready())
    }

    /// Tells whether the target is loading any weights.
    pub fn is_loading(&self) -> bool {
        self.versions.iter().any(LoadedVersion::is_loading)
    }
}
