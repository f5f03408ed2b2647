use std::net::SocketAddr;

use base::{CoreShare, DomainName, NodeName, TimeSpan};

/// Budget of second sends that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Second sends allowed for each call.
    pub ratio: f64,
    /// Second sends allowed beyond that in each window.
    pub extra: f64,
    /// Length of the window.
    pub window: TimeSpan,
}

/// Settings of a gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Processor that the process may use.
    pub capacity: CoreShare,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer asks whether the node takes callers.
    pub ready_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address for metrics.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some nodes, perhaps stale.
    pub seeds: Vec<SocketAddr>,
    /// Time from a stop signal until the process is killed.
    pub stop_grace: TimeSpan,
    /// Budget of second sends.
    pub retry: RetryBounds,
}
