use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

use crate::RateRecord;

/// A target named a rate of calls in an answer, or an answer no longer named one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NamedRate {
    /// The target.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
    /// The rate.
    pub record: RateRecord,
}
