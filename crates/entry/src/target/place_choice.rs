use base::{DomainName, ServiceName, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

use super::LoadSum;
use crate::EngineSpec;

/// Which targets a call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceReach {
    /// Those of all failure domains.
    Any,
    /// Those of the own failure domain.
    Near,
}

/// Engine off which a generation moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveSource {
    /// The engine.
    pub target: TargetName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// What a call needs of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceNeed {
    /// Service that the call goes to.
    pub service: ServiceName,
    /// Sizes of the engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Load that the call adds.
    pub load: LoadSum,
    /// Whether its output is short.
    pub is_quick: bool,
    /// Targets that must not be used.
    pub excluded: Vec<TargetName>,
    /// Engine that holds the memory of a generation that moves.
    pub moves_from: Option<MoveSource>,
    /// Which targets it may use.
    pub reach: PlaceReach,
    /// Expected delays by failures that the node of the call saw itself, sorted by target.
    pub delays: Vec<(TargetName, TimeSpan)>,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceChoice {
    /// To this target.
    Target(TargetName),
    /// Nowhere now, as every target is full or paused.
    Full,
    /// Nowhere, as every target wants quiet from this node; the first one for this time.
    Quiet(TimeSpan),
    /// Nowhere, as the service has no target that is up.
    Absent,
}
