use base::{ClockTime, DomainName, RevisionNumber, VersionName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::RolloutState;

/// One rollout in one domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// Domain.
    pub domain: DomainName,
    /// Rollout.
    pub rollout: SmolStr,
    /// Wanted version.
    pub version: VersionName,
    /// Revision in effect at the reporting node.
    pub revision: RevisionNumber,
    /// State.
    pub state: RolloutState,
    /// Targets that serve the version with its adapters.
    pub ready: usize,
    /// Selected targets.
    pub selected: usize,
    /// Targets that failed on the version.
    pub failed: usize,
    /// Since when the state holds, by the clock of the reporting node.
    pub since: ClockTime,
}
