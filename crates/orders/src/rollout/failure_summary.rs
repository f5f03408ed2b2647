use base::{RevisionNumber, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::RolloutKey;

/// Failures of one rollout that a node knows of. Nodes exchange summaries and merge them by union.
///
/// ```
/// use base::RevisionNumber;
/// use orders::{RolloutKey, FailureSummary};
/// let version = "2".parse().unwrap();
/// let key = RolloutKey { rollout: "quill".into(), version, epoch: 1, content: 7 };
/// let mut here = FailureSummary::new(key.clone(), RevisionNumber::new(1, 9));
/// let mut there = FailureSummary::new(key, RevisionNumber::new(1, 8));
/// there.add("e1".parse().unwrap(), "weights are damaged".into());
/// assert!(here.merge(&there));
/// assert!(!here.merge(&there));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureSummary {
    /// Rollout that the failures belong to.
    pub key: RolloutKey,
    /// Lowest revision in which a failure was seen.
    pub revision: RevisionNumber,
    /// Targets on which the version failed and the reasons, sorted by target; at most
    /// [`Self::FAILED_LIMIT`].
    pub failed: Vec<(TargetName, SmolStr)>,
}

impl FailureSummary {
    /// Maximum number of targets in a summary; the schema allows no higher `failure_limit`.
    pub const FAILED_LIMIT: usize = 1_000;

    /// Creates a summary without failures.
    pub fn new(key: RolloutKey, revision: RevisionNumber) -> Self {
        Self {
            key,
            revision,
            failed: Vec::new(),
        }
    }

    /// Adds a failure; returns whether it was not known before.
    pub fn add(&mut self, target: TargetName, reason: SmolStr) -> bool {
        if self.failed.len() >= Self::FAILED_LIMIT {
            return false;
        }
        let found = self.failed.binary_search_by(|(name, _)| name.cmp(&target));
        let Err(at) = found else {
            return false;
        };
        self.failed.insert(at, (target, reason));
        true
    }

    /// Adds the failures of another summary of the same rollout; returns whether any was not known
    /// before.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.key != self.key {
            return false;
        }
        self.revision = self.revision.min(other.revision);
        let mut changed = false;
        for (target, reason) in &other.failed {
            changed |= self.add(target.clone(), reason.clone());
        }
        changed
    }
}
