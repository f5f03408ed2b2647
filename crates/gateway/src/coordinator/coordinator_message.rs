use base::{NodeName, TargetName, TimeSpan};
use entry::{GrantId, PaceNeed, PlacementRequest};
use serde::{Deserialize, Serialize};

use crate::peer::ExtendedMessage;

/// Request of a node to its coordinator for capacity on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CoordinatorRequest {
    /// Node that sends the request.
    pub node: NodeName,
    /// What the call requires of the engine.
    #[serde(rename = "need")]
    pub placement: PlacementRequest,
    /// Priority rank; 0 is the most urgent.
    pub priority: u8,
    /// Time since the call arrived, from which the coordinator derives its position in the queue.
    pub waited: TimeSpan,
    /// Time after its arrival within which the call has to be placed to be on time.
    pub start_within: TimeSpan,
    /// Longest time that the call can wait from now on.
    #[serde(rename = "patience")]
    pub max_wait: TimeSpan,
}

/// Parts of a placement request that earlier builds don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestExtension {
    #[serde(default)]
    pace: Option<PaceNeed>,
}

impl ExtendedMessage for CoordinatorRequest {
    type Extension = RequestExtension;

    fn take_extension(&mut self) -> RequestExtension {
        RequestExtension {
            pace: self.placement.pace.take(),
        }
    }

    fn extend(&mut self, extension: RequestExtension) {
        self.placement.pace = extension.pace;
    }
}

/// Response of a coordinator to a request for capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorReply {
    /// Capacity is reserved for the call.
    Granted {
        /// The engine.
        target: TargetName,
        /// Identifier of the grant. The node lists it in its load reports once it counts the load
        /// itself.
        id: GrantId,
        /// Longest time until the engine ends that a generation is moved off, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        source_left: Option<TimeSpan>,
    },
    /// No engine has capacity yet. The node has to repeat the request, which keeps its position in
    /// the queue.
    Waiting,
    /// The coordinator has no engine of the service that it can offer.
    Absent,
}
