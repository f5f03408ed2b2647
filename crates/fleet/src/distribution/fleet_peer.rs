use base::{DomainName, NodeName};

/// A live node that membership lists.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FleetPeer {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
}

impl FleetPeer {
    /// Creates a peer.
    pub fn new(node: NodeName, domain: DomainName) -> Self {
        Self { node, domain }
    }
}
