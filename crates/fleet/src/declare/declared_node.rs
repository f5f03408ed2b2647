use std::net::SocketAddr;

use base::{DomainName, NodeName};

/// One declared node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredNode {
    /// Name of the node.
    pub name: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address and port on which other nodes reach this one.
    pub peer_address: SocketAddr,
}
