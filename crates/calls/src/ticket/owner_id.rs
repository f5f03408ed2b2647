use std::fmt;

use base::{IncarnationNumber, NodeName};
use serde::{Deserialize, Serialize};

/// One run of one node, the only process that may act on what is bound to it.
///
/// ```
/// let owner = calls::OwnerId::new("n1".parse().unwrap(), base::IncarnationNumber(7));
/// assert_eq!(owner.to_string(), "n1.7");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerId {
    /// The node.
    pub node: NodeName,
    /// Its run.
    pub incarnation: IncarnationNumber,
}

impl OwnerId {
    /// Creates the id of one run of `node`.
    pub fn new(node: NodeName, incarnation: IncarnationNumber) -> Self {
        Self { node, incarnation }
    }
}

impl fmt::Display for OwnerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.node, self.incarnation)
    }
}
