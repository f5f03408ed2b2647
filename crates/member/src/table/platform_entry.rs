use std::net::SocketAddr;

use base::{DomainName, NodeName};

/// What the platform's list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    /// The VM runs.
    Live,
    /// The VM is about to be taken away.
    Leaving,
}

/// One node VM in the platform's list.
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
