use base::{DomainName, IncarnationNumber, NodeName};

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// Declared name.
    pub node: NodeName,
    /// Failure domain.
    pub domain: DomainName,
    /// This run.
    pub incarnation: IncarnationNumber,
}
