use base::{DomainName, IncarnationNumber, NodeName};

/// Name, failure domain and incarnation of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Name of the node in the declaration.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Incarnation of this process.
    pub incarnation: IncarnationNumber,
}
