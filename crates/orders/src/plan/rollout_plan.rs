use base::{ByteCount, ModelName, VersionName};
use smol_str::SmolStr;

use crate::RolloutKey;

/// One rollout within one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Identifies what is rolled out; failures are counted by it.
    pub key: RolloutKey,
    /// Name of the rollout.
    pub name: SmolStr,
    /// Model.
    pub model: ModelName,
    /// Wanted version.
    pub version: VersionName,
    /// Size of the weights.
    pub weight_bytes: ByteCount,
    /// Positions of the selected targets, in the order of their names.
    pub selected: Vec<usize>,
    /// Selected targets that are to keep serving the model.
    pub least_ready: usize,
    /// Targets that may fail on the version before the rollout stops.
    pub failure_limit: usize,
}

impl RolloutPlan {
    /// Targets in one wave: as many as may be out of service at once, but at least one.
    pub fn wave_size(&self) -> usize {
        (self.selected.len() - self.least_ready).max(1)
    }

    /// The waves, each a slice of positions of targets.
    pub fn waves(&self) -> impl Iterator<Item = &[usize]> {
        self.selected.chunks(self.wave_size())
    }
}

/// Number of targets that `percent` of `selected` asks for, rounded up.
pub(super) fn least_of(selected: usize, percent: u8) -> usize {
    (selected * usize::from(percent))
        .div_ceil(100)
        .min(selected)
}
