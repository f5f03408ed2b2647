use base::{ClockTime, DomainName, ServiceName, TargetName, TimeSpan, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::TargetLoad;
use crate::{EngineSpec, PaceNeed};

/// Failure domains whose targets a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementScope {
    /// All failure domains.
    #[serde(rename = "Any")]
    AllDomains,
    /// Only the own failure domain.
    #[serde(rename = "Near")]
    OwnDomain,
}

/// Engine that a generation is moved away from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSource {
    /// The engine.
    pub target: TargetName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Tokens that the generation has produced so far.
    #[serde(skip)]
    pub produced: u32,
    /// Engines that refused copies for lack of room, each with the time for which it gets none.
    #[serde(skip)]
    pub full: Vec<(TargetName, TimeSpan)>,
}

/// What a call requires of the target that is chosen for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Service that the call is for.
    pub service: ServiceName,
    /// Capacity of the engines of the service; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Load that the call adds.
    pub load: TargetLoad,
    /// Whether the call counts as quick: its output is short, or the service is a plain one.
    pub is_quick: bool,
    /// Targets that must not be used.
    pub excluded: Vec<TargetName>,
    /// Engine that holds the memory of the generation, if the request is for moving one.
    pub move_source: Option<MoveSource>,
    /// Failure domains whose targets may be used.
    pub scope: PlacementScope,
    /// Expected delays caused by failures that the node of the call observed itself, sorted by
    /// target.
    pub failure_delays: Vec<(TargetName, TimeSpan)>,
    /// What the call requires of the pace of its engine; `None` if its route has no pause limit.
    ///
    /// Not part of the encoded form, which readers refuse if it has fields that they don't know.
    #[serde(skip)]
    pub pace: Option<PaceNeed>,
    /// Workspace of the caller, among which capacity is shared while calls wait. Not part of the
    /// encoded form either.
    #[serde(skip)]
    pub workspace: Option<WorkspaceName>,
}

impl PlacementRequest {
    /// Whether the call waits for an engine on which it is on time rather than take one where it
    /// would be late: a long call that can still be on time and is not a move.
    pub fn may_wait_for_pace(&self, now: ClockTime) -> bool {
        let can_wait = self.pace.is_some_and(|need| need.can_be_on_time(now));
        can_wait && !self.is_quick && self.move_source.is_none()
    }
}

/// Response to a placement request: the chosen target, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send the call to this target.
    Target(TargetName),
    /// No target now, as each one is full, paused or not allowed for the call.
    Full,
    /// No target, as all asked this node to back off; the first one accepts calls after this time.
    Backoff(TimeSpan),
    /// No target, as the service has none that is up.
    NoTarget,
}
