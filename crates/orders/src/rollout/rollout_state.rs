use base::ClockTime;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

/// Progress of a rollout in one domain.
///
/// ```
/// assert_eq!(orders::RolloutState::Done.to_string(), "done");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// No target has loaded or is loading the version.
    Pending,
    /// Some targets have loaded or are loading the version.
    Progressing,
    /// The version failed on as many targets as the declaration allows.
    Halted {
        /// Number of failed targets and the reasons that they reported.
        reason: SmolStr,
        /// When this node found that the rollout is halted.
        since: ClockTime,
    },
    /// Every selected target serves the version.
    Done,
}
