use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

/// A target said in an answer that it leaves, or the platform took that back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaveWord {
    /// The target.
    pub target: TargetName,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Times that it was taken back before.
    pub earlier: u16,
}

impl LeaveWord {
    /// The run that it is about.
    pub(super) fn run(&self) -> (&TargetName, IncarnationNumber) {
        (&self.target, self.incarnation)
    }
}
