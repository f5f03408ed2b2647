use base::TimeSpan;
use facts::{FactValue, SharedFact};
use serde::{Deserialize, Serialize};

use super::{CrashSign, LeaveNotice, NamedRate, RunEnd};

/// Time by which an overriding fact (`Completed`, `Stayed`) outlives the fact that it overrides.
/// Nodes receive the two at different times, and the overridden fact must not take effect again.
const OVERRIDE_MARGIN: TimeSpan = TimeSpan::from_secs(60);
/// Time for which the announcement of a target that it is leaving holds; the target is gone long
/// before that.
const LEAVE_LIFETIME: TimeSpan = TimeSpan::from_secs(300);

/// Time for which the end of a run is replicated; its entry may stay listed while the store is down.
const END_LIFETIME: TimeSpan = TimeSpan::from_secs(600);
/// Time for which the rate of a target is replicated; answers that name the same rate renew it.
pub(super) const RATE_LIFETIME: TimeSpan = TimeSpan::from_secs(60);

/// Fact about a target that all nodes replicate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetFact {
    /// A target died while a call with the feature ran on it.
    Crashed(CrashSign),
    /// A call with the feature ran elsewhere later, so the feature did not cause the death.
    Completed(CrashSign),
    /// A target announced that it is leaving.
    Leaving(LeaveNotice),
    /// The platform published a target that had announced that it is leaving as ready again.
    Stayed(LeaveNotice),
    /// A target named a rate of calls that it accepts, or no longer names one.
    RateNamed(NamedRate),
    /// A run of a target ended although it is still listed.
    Ended(RunEnd),
}

impl TargetFact {
    /// The sign, if the fact is that a target died.
    pub fn as_crash(&self) -> Option<&CrashSign> {
        match self {
            Self::Crashed(sign) => Some(sign),
            Self::Completed(_)
            | Self::Leaving(_)
            | Self::Stayed(_)
            | Self::RateNamed(_)
            | Self::Ended(_) => None,
        }
    }
}

impl SharedFact for TargetFact {
    fn lifetime(&self) -> TimeSpan {
        match self {
            Self::Crashed(_) => CrashSign::LIFETIME,
            Self::Completed(_) => CrashSign::LIFETIME + OVERRIDE_MARGIN,
            Self::Leaving(_) => LEAVE_LIFETIME,
            Self::Stayed(_) => LEAVE_LIFETIME + OVERRIDE_MARGIN,
            Self::RateNamed(_) => RATE_LIFETIME,
            Self::Ended(_) => END_LIFETIME,
        }
    }

    /// A death of one call says little: most of the calls on a target did not crash it, and the one
    /// that did comes again.
    fn value(&self, neighbors: [Option<&Self>; 2]) -> FactValue {
        match self {
            Self::Crashed(sign) => {
                let mut signs = neighbors.into_iter().flatten().filter_map(Self::as_crash);
                match signs.any(|other| other.print == sign.print) || sign.print.is_failed_trial() {
                    true => FactValue::High,
                    false => FactValue::Low,
                }
            }
            Self::Completed(_) => FactValue::Medium,
            Self::Leaving(_) | Self::Stayed(_) | Self::RateNamed(_) | Self::Ended(_) => {
                FactValue::High
            }
        }
    }
}
