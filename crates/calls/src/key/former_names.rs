use base::{ClockTime, NodeName, RevisionNumber};

/// A list of declared nodes that a newer revision replaced.
#[derive(Clone, Debug)]
pub(super) struct FormerNames {
    /// The nodes, sorted.
    pub names: Vec<NodeName>,
    /// The revision that replaced it.
    pub replaced_by: RevisionNumber,
    /// Nodes of the list that may still act on it.
    pub unacked: Vec<NodeName>,
    /// When the last of them was known not to.
    pub acked_at: ClockTime,
}

impl FormerNames {
    /// Notes that `node` no longer acts on the list.
    pub fn on_ack(&mut self, now: ClockTime, node: &NodeName) {
        let before = self.unacked.len();
        self.unacked.retain(|name| name != node);
        if self.unacked.len() < before {
            self.acked_at = now;
        }
    }
}
