use std::net::SocketAddr;

use base::{ClockTime, IncarnationNumber, NodeName};
use schema::member::{NodeRecord, NodeState};

/// State of the direct link from this node to a peer, as probes show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Not known to be broken.
    Good,
    /// Direct probes fail while probes through peers are answered.
    Broken,
}

/// What this node holds about a node: its record, where it was learned from, and the state of the
/// link to it.
#[derive(Clone, Debug)]
pub(crate) struct NodeEntry {
    pub(crate) record: NodeRecord,
    pub(crate) address: Option<SocketAddr>,
    /// Whether the accepted declaration names the node.
    pub(crate) declared: bool,
    /// Whether the platform's latest list names the node.
    pub(crate) listed: bool,
    /// Whether this node's own probes or a message of the node determined its state; the platform's
    /// list no longer does then.
    pub(crate) state_observed: bool,
    /// When the last message of the node arrived.
    pub(crate) last_heard: Option<ClockTime>,
    /// Digest of all records of that node, from the header of its last message.
    pub(crate) reported_view_digest: u64,
    pub(crate) link: LinkState,
    /// Direct probes that failed since the last answered one.
    pub(crate) failed_direct_probes: u32,
    /// When this node learned that the node is dead; `None` if it is not dead or was never heard
    /// of.
    pub(crate) dead_at: Option<ClockTime>,
}

impl NodeEntry {
    pub(crate) fn new(node: NodeName) -> Self {
        let record = NodeRecord {
            node,
            incarnation: IncarnationNumber(0),
            version: 0,
            state: NodeState::Dead,
        };
        Self {
            record,
            address: None,
            declared: false,
            listed: false,
            state_observed: false,
            last_heard: None,
            reported_view_digest: 0,
            link: LinkState::Good,
            failed_direct_probes: 0,
            dead_at: None,
        }
    }

    /// Whether the node is alive or suspected: it can be elected.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.record.state, NodeState::Alive | NodeState::Suspect)
    }

    /// Whether the node is not dead (it may be leaving): it is probed and gets messages.
    pub(crate) fn is_running(&self) -> bool {
        self.record.state != NodeState::Dead
    }
}
