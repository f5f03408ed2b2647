use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Why a target is not in its declared state yet.
///
/// ```
/// use orders::BlockReason;
/// assert_eq!(BlockReason::RolloutHalted.to_string(), "rollout_halted");
/// assert!(BlockReason::RolloutHalted.sentence().contains("publish"));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum BlockReason {
    /// No declaration is in effect at this node.
    NoDeclaration,
    /// A peer or a target knows a newer revision.
    NewerRevision,
    /// The node has not refreshed its view of the domain since it started or was last paused.
    StaleView,
    /// No probe of the target has been answered recently.
    NotObserved,
    /// The target is about to be removed by the platform.
    TargetLeaving,
    /// An order has been sent and its outcome is not known yet.
    OrderPending,
    /// The target is loading weights.
    Loading,
    /// An order is due, but it has not been sent yet.
    OrderDue,
    /// The ownership of the target changed recently.
    Settling,
    /// An earlier wave of the rollout is not finished.
    EarlierWave,
    /// The permit coordinator has not granted the permit for the next order yet.
    NoSlot,
    /// No majority of the nodes of the domain is live as this node sees it, so there is no permit
    /// coordinator.
    NoMajority,
    /// Too few other targets of the domain serve the model to take it out of service here.
    LeastCapacity,
    /// The version failed on too many targets, so its rollout is halted.
    RolloutHalted,
    /// The version failed on this target.
    VersionFailed,
    /// The target lacks memory for the version, and no other version can be unloaded.
    MemoryFull,
    /// Repeated orders had no lasting effect, so the next one is delayed.
    BackingOff,
}

impl BlockReason {
    /// Explanation for operators.
    pub const fn sentence(self) -> &'static str {
        match self {
            Self::NoDeclaration => "No declaration is in effect at this node.",
            Self::NewerRevision => "A newer revision is known and is being fetched.",
            Self::StaleView => "The node refreshes its view after a start or a pause.",
            Self::NotObserved => "The target does not answer probes.",
            Self::TargetLeaving => "The target is leaving and gets no orders.",
            Self::OrderPending => "An order was sent and its effect is awaited.",
            Self::Loading => "The target loads weights.",
            Self::OrderDue => "The next order is being prepared.",
            Self::Settling => "The owner of the target changed a moment ago.",
            Self::EarlierWave => "An earlier wave of the rollout is not finished.",
            Self::NoSlot => "The share of the weight store is in use by other loads.",
            Self::NoMajority => "Fewer than half of the nodes of the domain are connected.",
            Self::LeastCapacity => "An unload would leave too few targets that serve the model.",
            Self::RolloutHalted => "The version failed on too many targets; publish another one.",
            Self::VersionFailed => "The version failed on this target.",
            Self::MemoryFull => "The target lacks memory for the version.",
            Self::BackingOff => "Repeated orders had no lasting effect; the next one waits.",
        }
    }
}
