use base::{IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

use crate::CrashPrint;

/// The death of one run of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetDeath {
    /// The target.
    pub target: TargetName,
    /// The run that died.
    pub incarnation: IncarnationNumber,
}

/// A request that was on a target when it died.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// The request.
    pub print: CrashPrint,
    /// The death.
    pub death: TargetDeath,
}

/// What nodes of a domain tell one another about marked requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// A request was on a target that died.
    Marked(CrashMark),
    /// A marked request completed; it did not cause these deaths.
    Cleared {
        /// The request.
        print: CrashPrint,
        /// Deaths that it was marked for.
        deaths: Vec<TargetDeath>,
    },
    /// A marked request runs on a target.
    Placed {
        /// The request.
        print: CrashPrint,
        /// The target.
        target: TargetName,
    },
    /// A marked request left a target.
    Left {
        /// The request.
        print: CrashPrint,
        /// The target.
        target: TargetName,
    },
}
