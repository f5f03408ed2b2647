use base::{ByteCount, ModelName, VersionName};
use smol_str::SmolStr;

use crate::RolloutKey;

/// Declared state of one rollout in one domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Identifies the content of the rollout; failures are counted per key.
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
    /// Minimum number of selected targets that must keep serving the model.
    pub min_ready: usize,
    /// Number of targets on which the version may fail before the rollout halts.
    pub failure_limit: usize,
}

impl RolloutPlan {
    /// Number of targets in one wave: as many as may be out of service at once, but at least one.
    pub fn wave_size(&self) -> usize {
        (self.selected.len() - self.min_ready).max(1)
    }

    /// The waves in order, each a slice of target positions.
    pub fn waves(&self) -> impl Iterator<Item = &[usize]> {
        self.selected.chunks(self.wave_size())
    }
}

/// Returns `percent` of `selected` targets, rounded up.
pub(super) fn min_ready_of(selected: usize, percent: u8) -> usize {
    (selected * usize::from(percent))
        .div_ceil(100)
        .min(selected)
}
