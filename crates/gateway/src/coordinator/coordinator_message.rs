use base::{NodeName, TargetName, TimeSpan};
use entry::{GrantId, PlacementRequest, WaitEstimate};
use serde::{Deserialize, Serialize};

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
    /// Whether the node understands [`CoordinatorReply::Refused`].
    #[serde(default)]
    pub accepts_refusal: bool,
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
    },
    /// No engine has capacity yet. The node has to repeat the request, which keeps its position in
    /// the queue.
    Waiting,
    /// The coordinator has no engine of the service that it can offer.
    Absent,
    /// The call was expected to wait for longer than it can and has left the queue. Sent only in
    /// response to requests that accept it.
    Refused {
        /// Time after which the caller may return.
        retry_after: TimeSpan,
        /// Estimate that caused the refusal.
        estimate: WaitEstimate,
    },
}
