use base::{NodeName, TargetName, TimeSpan, WorkspaceName};
use entry::{GrantId, PaceNeed, PlacementRequest, WaitEstimate};
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
    /// Whether the node understands [`CoordinatorReply::Refused`].
    #[serde(skip)]
    pub accepts_refusal: bool,
}

/// Parts of a placement request that earlier builds don't know.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestExtension {
    #[serde(default)]
    pace: Option<PaceNeed>,
    #[serde(default)]
    accepts_refusal: bool,
    #[serde(default)]
    workspace: Option<WorkspaceName>,
    /// Of a generation to be moved: tokens produced so far, and engines that refused copies.
    #[serde(default)]
    moved: Option<(u32, Vec<(TargetName, TimeSpan)>)>,
}

impl ExtendedMessage for CoordinatorRequest {
    type Extension = RequestExtension;

    fn take_extension(&mut self) -> RequestExtension {
        RequestExtension {
            pace: self.placement.pace.take(),
            accepts_refusal: std::mem::take(&mut self.accepts_refusal),
            workspace: self.placement.workspace.take(),
            moved: self.placement.move_source.as_mut().map(|source| {
                let produced = std::mem::take(&mut source.produced);
                (produced, std::mem::take(&mut source.full))
            }),
        }
    }

    fn extend(&mut self, extension: RequestExtension) {
        self.placement.pace = extension.pace;
        self.accepts_refusal = extension.accepts_refusal;
        self.placement.workspace = extension.workspace;
        if let (Some(source), Some((produced, full))) =
            (&mut self.placement.move_source, extension.moved)
        {
            source.produced = produced;
            source.full = full;
        }
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
    /// The call was expected to wait for longer than it can and has left the queue. Sent only in
    /// response to requests that accept it.
    Refused {
        /// Time after which the caller may return.
        retry_after: TimeSpan,
        /// Estimate that caused the refusal.
        estimate: WaitEstimate,
    },
}
