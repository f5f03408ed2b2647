use base::NodeName;
use serde::Deserialize;
use serde_json::Value;

/// Answer of `/ops/events`.
#[derive(Clone, Debug, Deserialize)]
pub struct EventPage {
    /// Node that answered.
    pub node: NodeName,
    /// Events that no longer fit into the memory of the node.
    pub dropped: u64,
    /// Events, read one by one since a newer node may know kinds that this program does not.
    pub events: Vec<Value>,
}
