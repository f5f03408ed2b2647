use std::net::SocketAddr;

use base::{ClockTime, IncarnationNumber, NodeName};
use schema::member::{NodeRecord, NodeState};

/// State of the direct link from this node to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// The last probe was answered, or none was sent.
    Good,
    /// Direct probes fail while probes through peers are answered.
    Broken,
}

/// What this node knows of another one.
#[derive(Clone, Debug)]
pub(crate) struct NodeEntry {
    pub(crate) record: NodeRecord,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) declared: bool,
    pub(crate) listed: bool,
    /// Whether own probes or a peer's rumour told its state, so that the platform's list does not.
    pub(crate) judged: bool,
    pub(crate) heard: Option<ClockTime>,
    /// Digest of its records that its last message told.
    pub(crate) digest: u64,
    pub(crate) link: LinkState,
    pub(crate) misses: u32,
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
            judged: false,
            heard: None,
            digest: 0,
            link: LinkState::Good,
            misses: 0,
            dead_at: None,
        }
    }

    /// Whether the node may be elected.
    pub(crate) fn is_live(&self) -> bool {
        matches!(self.record.state, NodeState::Alive | NodeState::Suspect)
    }

    /// Whether the node is probed.
    pub(crate) fn is_running(&self) -> bool {
        self.record.state != NodeState::Dead
    }
}
