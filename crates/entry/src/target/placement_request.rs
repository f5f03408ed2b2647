use base::{DomainName, ServiceName, TargetName, TimeSpan, WorkspaceName};
use serde::{Deserialize, Serialize};

use super::TargetLoad;
use crate::EngineSpec;

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
    /// Workspace of the caller, among which capacity is shared while calls wait.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
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
