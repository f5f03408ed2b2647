use base::{RevisionNumber, VersionName, rank_score};
use fleet::DeclaredRollout;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Identifies the content of a rollout.
///
/// The key changes with the epoch and with any entry of the rollout, but not with a revision that
/// does not change the rollout. Otherwise each of the 8,100 configuration changes a day would
/// restart a halted rollout and load a broken version on further targets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RolloutKey {
    /// Name of the rollout.
    pub rollout: SmolStr,
    /// Wanted version.
    pub version: VersionName,
    /// Epoch of the revision.
    pub epoch: u64,
    /// Hash of all entries of the rollout.
    pub content: u64,
}

impl RolloutKey {
    /// Derives the key of a rollout in a revision.
    pub fn new(rollout: &DeclaredRollout, revision: RevisionNumber) -> Self {
        let mut text = format!("{}\n{}\n", rollout.model, rollout.targets);
        for adapter in &rollout.adapters {
            text.push_str(adapter.as_str());
            text.push(',');
        }
        let limits = format!("\n{}\n{}", rollout.least_capacity, rollout.failure_limit);
        text.push_str(&limits);
        Self {
            rollout: rollout.name.clone(),
            version: rollout.version.clone(),
            epoch: revision.epoch,
            content: rank_score(&text, rollout.version.as_str()),
        }
    }
}
