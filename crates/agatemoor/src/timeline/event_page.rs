use base::NodeName;
use serde::Deserialize;
use serde_json::Value;

/// Response of `/ops/events` of one node.
#[derive(Clone, Debug, Deserialize)]
pub struct EventPage {
    /// Node that sent the response.
    pub node: NodeName,
    /// Number of old events that the node has discarded because its event buffer was full.
    pub dropped: u64,
    /// Events as raw JSON; each is decoded on its own, because a newer node may send kinds that
    /// this program does not know.
    pub events: Vec<Value>,
}
