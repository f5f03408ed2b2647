use std::fmt;

use base::{IncarnationNumber, NodeName};
use serde::{Deserialize, Serialize};

/// Identifies one process: a node's name and the incarnation number of one run of that node.
///
/// Tickets and idempotency keys are bound to a process, not to a node, because a restarted node
/// has lost the memory of what its earlier run executed.
///
/// ```
/// let process = calls::ProcessId::new("n1".parse().unwrap(), base::IncarnationNumber(7));
/// assert_eq!(process.to_string(), "n1.7");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the node.
    pub node: NodeName,
    /// Which run of the node.
    pub incarnation: IncarnationNumber,
}

impl ProcessId {
    /// Creates the id of the run `incarnation` of `node`.
    pub fn new(node: NodeName, incarnation: IncarnationNumber) -> Self {
        Self { node, incarnation }
    }
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.node, self.incarnation)
    }
}
