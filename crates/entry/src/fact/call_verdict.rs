use base::TimeSpan;

use super::FeatureId;

/// Whether and how a call may run, by the deaths of targets that its features are blamed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallVerdict {
    /// On any target.
    Unrestricted,
    /// Only on a target where no other suspect call runs.
    Isolated,
    /// Only as the single trial in the fleet of a suspected part of its prompt.
    Trial {
        /// The suspected part.
        part: FeatureId,
    },
    /// On no target.
    Refused {
        /// Time until it may run again.
        retry_after: TimeSpan,
        /// The feature that is blamed.
        feature: FeatureId,
    },
}
