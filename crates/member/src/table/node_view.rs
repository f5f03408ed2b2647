use std::net::SocketAddr;

use base::{ClockTime, DomainName, IncarnationNumber, NodeName, TargetName};
use schema::member::NodeState;

use crate::TargetState;

/// What the table knows of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeView {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Latest known run; zero if the node was never heard of except in lists.
    pub incarnation: IncarnationNumber,
    /// State of that run.
    pub state: NodeState,
    /// Address for other nodes.
    pub address: Option<SocketAddr>,
    /// Whether its domain can be reached, as far as this domain's bridges know.
    pub domain_reachable: bool,
    /// Whether the direct link to it is silent while peers reach it.
    pub link_broken: bool,
    /// When it last sent this node a message.
    pub heard: Option<ClockTime>,
}

/// What the table knows of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Name of the target.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Latest known run; zero if no source told it.
    pub incarnation: IncarnationNumber,
    /// State of that run.
    pub state: TargetState,
}
