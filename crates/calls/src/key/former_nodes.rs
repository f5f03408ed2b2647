use base::{ClockTime, NodeName, RevisionNumber};

/// A list of declared nodes that a newer revision replaced.
#[derive(Clone, Debug)]
pub(super) struct FormerNodes {
    /// Names of the nodes, sorted.
    pub names: Vec<NodeName>,
    /// The revision that replaced the list.
    pub replaced_by: RevisionNumber,
    /// Nodes of the list that may still act on it, as they have not acknowledged a newer revision.
    pub unacked: Vec<NodeName>,
    /// When the latest acknowledgement arrived.
    pub acked_at: ClockTime,
}

impl FormerNodes {
    /// Records that `node` no longer acts on the list.
    pub fn on_ack(&mut self, now: ClockTime, node: &NodeName) {
        let before = self.unacked.len();
        self.unacked.retain(|name| name != node);
        if self.unacked.len() < before {
            self.acked_at = now;
        }
    }
}
