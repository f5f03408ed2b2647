use base::{IncarnationNumber, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

use super::FeatureId;

/// Record that a target died while a call with a feature ran on it, which makes the feature a
/// possible cause.
///
/// Each feature of each call on the target gets its own sign. Calls share the signs of the features
/// that they have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashSign {
    /// The feature.
    pub print: FeatureId,
    /// The target.
    pub target: TargetName,
    /// Run of the target, as the node that sent the call knew it.
    pub incarnation: IncarnationNumber,
    /// Deaths of that run that the node knew of when it sent the call. A target may restart before
    /// nodes see its new incarnation; this tells the two deaths apart.
    pub earlier: u16,
}

impl CrashSign {
    /// Time for which a death counts against the features of the calls that ran on the target.
    pub const LIFETIME: TimeSpan = TimeSpan::from_secs(600);
    /// The same for calls that had answered for a while. They are many, and hardly one of them is the
    /// cause, so that a full set drops their signs first.
    pub const PROVEN_LIFETIME: TimeSpan = TimeSpan::from_secs(120);

    /// Whether two signs are about the same death.
    pub fn is_same_death(&self, other: &Self) -> bool {
        self.target == other.target
            && self.incarnation == other.incarnation
            && self.earlier == other.earlier
    }
}
