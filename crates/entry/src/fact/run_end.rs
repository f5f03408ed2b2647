use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

/// A run of a target ended, as another target answered at its address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunEnd {
    /// The target.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
}
