use base::{ClockTime, DomainName, RevisionNumber, VersionName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::RolloutState;

/// Progress of one rollout in one domain, as a row of the convergence report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// Domain.
    pub domain: DomainName,
    /// Name of the rollout.
    pub rollout: SmolStr,
    /// Wanted version.
    pub version: VersionName,
    /// Revision in effect at the reporting node.
    pub revision: RevisionNumber,
    /// Progress of the rollout.
    pub state: RolloutState,
    /// Number of targets that serve the version with its adapters.
    pub ready: usize,
    /// Number of selected targets.
    pub selected: usize,
    /// Number of targets on which the version failed.
    pub failed: usize,
    /// Since when the state holds, by the clock of the reporting node.
    pub since: ClockTime,
}
