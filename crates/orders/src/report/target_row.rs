use base::{ClockTime, DomainName, RevisionNumber, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::BlockReason;

/// Declared and actual state of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Domain.
    pub domain: DomainName,
    /// Target.
    pub target: TargetName,
    /// Revision in effect at the reporting node.
    pub revision: RevisionNumber,
    /// Wanted role and versions.
    pub declared: SmolStr,
    /// Role and versions as last observed; empty if never observed.
    pub actual: SmolStr,
    /// What stands in the way; `None` if the target is in its declared state.
    pub blocked: Option<BlockReason>,
    /// Since when, by the clock of the reporting node.
    pub since: ClockTime,
    /// Whether the reporting node gives the orders.
    pub owned: bool,
}
