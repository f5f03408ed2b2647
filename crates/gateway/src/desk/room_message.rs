use base::{NodeName, TargetName, TimeSpan};
use entry::{GrantId, PlacementRequest};
use serde::{Deserialize, Serialize};

/// Question of a node to its desk for room on an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoomQuestion {
    /// Node that asks.
    pub node: NodeName,
    /// What the call needs.
    pub need: PlacementRequest,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Time since the call arrived, which keeps its place in the line.
    pub waited: TimeSpan,
    /// Time after its arrival within which the call has to be placed to be on time.
    pub start_within: TimeSpan,
    /// Time for which it can wait.
    pub patience: TimeSpan,
}

/// Answer of a desk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RoomAnswer {
    /// The call has room.
    Granted {
        /// The engine.
        target: TargetName,
        /// Identifies the room, which the node confirms as its load.
        id: GrantId,
    },
    /// The call waits in the line as long as the node goes on asking.
    Waiting,
    /// The desk knows no target of the service.
    Absent,
}
