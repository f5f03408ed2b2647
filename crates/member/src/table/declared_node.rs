use std::net::SocketAddr;

use base::{DomainName, NodeName};

/// A node named by the accepted declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredNode {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address for other nodes.
    pub address: SocketAddr,
}
