use base::{ClockTime, DomainName, RevisionNumber, TargetName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::BlockReason;

/// Declared and actual state of one target, as a row of the convergence report.
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
    /// Why the target is not in its declared state; `None` if it is.
    pub blocked: Option<BlockReason>,
    /// Since when `blocked` has had this value, by the clock of the reporting node.
    pub since: ClockTime,
    /// Whether the reporting node is the owner of the target, which sends it orders.
    pub owned: bool,
}
