use std::net::SocketAddr;

use base::{ClockTime, DomainName, IncarnationNumber, NodeName, TargetName};
use schema::member::NodeState;

use crate::TargetState;

/// State of a node as the table holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSnapshot {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Latest known run; zero if the node is only known from lists.
    pub incarnation: IncarnationNumber,
    /// State of that run.
    pub state: NodeState,
    /// Address for other nodes.
    pub address: Option<SocketAddr>,
    /// Whether its domain can be reached, as far as the bridges of this node's domain know.
    pub domain_reachable: bool,
    /// Whether direct probes of it fail while peers reach it.
    pub link_broken: bool,
    /// When its last message to this node arrived.
    pub last_heard: Option<ClockTime>,
}

/// State of a target as the table holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSnapshot {
    /// Name of the target.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Latest known run; zero if no source reported it.
    pub incarnation: IncarnationNumber,
    /// State of that run.
    pub state: TargetState,
}
