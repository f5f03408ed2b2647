use base::TimeSpan;

use super::{CallFeatures, FeatureId};

/// Whether and how a call may run, by the deaths of targets that its features are blamed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// On any target.
    Unrestricted,
    /// Only on a target where no other suspect call runs.
    Isolated,
    /// Only as the single trial in the fleet of a suspected feature.
    Trial {
        /// The whole request or a part of its prompt.
        feature: FeatureId,
    },
    /// On no target.
    Refused {
        /// Time until it may run again.
        retry_after: TimeSpan,
        /// The feature that is blamed.
        feature: FeatureId,
    },
}

impl CallVerdict {
    /// Whether the whole request of the call is suspected, so that the call must not share its target
    /// with another suspect call.
    pub fn is_suspect(&self, features: &CallFeatures) -> bool {
        match self {
            Self::Unrestricted => false,
            Self::Trial { feature } => *feature == features.request().into(),
            Self::Isolated | Self::Refused { .. } => true,
        }
    }
}
