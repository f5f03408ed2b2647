use std::net::SocketAddr;

use base::{DomainName, NodeName};

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// The VM runs.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// VM of a node in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformEntry {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain, if the platform knows it; needed only before a declaration is accepted.
    pub domain: Option<DomainName>,
    /// Address for other nodes, if the platform knows it.
    pub address: Option<SocketAddr>,
    /// State of the VM.
    pub state: PlatformState,
}
