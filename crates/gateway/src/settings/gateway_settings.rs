use std::net::SocketAddr;

use base::{ByteCount, CoreShare, DomainName, NodeName, TimeSpan};

/// Retry budget that all nodes share; a retry is any send of a call beyond the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed for each call, on average over a window.
    pub ratio: f64,
    /// Retries allowed in addition in each window.
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
    /// Processor share that the process may use.
    pub capacity: CoreShare,
    /// Memory that the process may use.
    pub memory: ByteCount,
    /// Largest body of a response that is not a stream.
    pub response_limit: ByteCount,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for the health checks of the load balancer.
    pub ready_address: SocketAddr,
    /// Listen address for peers, at which they also reach this node.
    pub peer_address: SocketAddr,
    /// Listen address for metrics; `None` if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some nodes, which may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Time from a stop signal until the process is killed.
    pub stop_grace: TimeSpan,
    /// Interval at which targets renew their entries in the store.
    pub renewal_interval: TimeSpan,
    /// Retry budget of the fleet.
    pub retry: RetrySettings,
}

impl GatewaySettings {
    /// Largest body of a response that is not a stream, where the settings name none.
    pub const DEFAULT_RESPONSE_LIMIT: ByteCount = ByteCount(8 << 20);
}
