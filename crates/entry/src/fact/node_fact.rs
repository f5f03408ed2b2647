use base::TimeSpan;
use facts::SharedFact;
use serde::{Deserialize, Serialize};

use super::{CrashSign, LeaveWord};

/// Time for which a crash counts.
const CRASH_LIFETIME: TimeSpan = TimeSpan::from_secs(600);
/// Time for which the end of a crash or of a leaving counts beyond what it ends, as nodes learn the
/// two at different moments.
const END_MARGIN: TimeSpan = TimeSpan::from_secs(60);
/// Time for which the word of a target that it leaves counts; it is gone long before.
const LEAVE_LIFETIME: TimeSpan = TimeSpan::from_secs(300);

/// What nodes agree on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NodeFact {
    /// A call was on a target that died.
    Crashed(CrashSign),
    /// That call ran to its end elsewhere, so it did not cause the death.
    Completed(CrashSign),
    /// A target said that it leaves.
    Leaving(LeaveWord),
    /// The platform published it as ready again.
    Stayed(LeaveWord),
}

impl SharedFact for NodeFact {
    fn lifetime(&self) -> TimeSpan {
        match self {
            Self::Crashed(_) => CRASH_LIFETIME,
            Self::Completed(_) => CRASH_LIFETIME + END_MARGIN,
            Self::Leaving(_) => LEAVE_LIFETIME,
            Self::Stayed(_) => LEAVE_LIFETIME + END_MARGIN,
        }
    }
}
