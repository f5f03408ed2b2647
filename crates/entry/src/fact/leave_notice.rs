use std::fmt;

use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

/// A target announced in a response that it is leaving, or the platform reversed that by publishing
/// it as ready again.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaveNotice {
    /// The target.
    pub target: TargetName,
    /// Run of the target.
    pub incarnation: IncarnationNumber,
    /// Number of earlier reversals; tells repeated announcements of one run apart.
    pub earlier: u16,
}

impl LeaveNotice {
    /// The run of the target that the notice is about.
    pub(super) fn run(&self) -> (&TargetName, IncarnationNumber) {
        (&self.target, self.incarnation)
    }
}

/// Keeps the former type name, since log lines of received facts (`FactTold`) contain it.
impl fmt::Debug for LeaveNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LeaveWord")
            .field("target", &self.target)
            .field("incarnation", &self.incarnation)
            .field("earlier", &self.earlier)
            .finish()
    }
}
