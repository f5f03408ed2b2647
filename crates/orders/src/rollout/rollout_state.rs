use base::ClockTime;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, IntoStaticStr};

/// How far a rollout is in one domain.
///
/// ```
/// assert_eq!(orders::RolloutState::Done.to_string(), "done");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// No target has the version or loads it.
    Pending,
    /// Some targets have the version or load it.
    Progressing,
    /// The version failed on as many targets as the declaration allows.
    Halted {
        /// Targets and what they said.
        reason: SmolStr,
        /// When this node learned of it.
        since: ClockTime,
    },
    /// Every selected target serves the version.
    Done,
}
