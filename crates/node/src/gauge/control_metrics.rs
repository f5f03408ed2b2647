use base::NodeName;
use metrics::counter;
use strum::IntoStaticStr;

/// What control traffic is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ControlKind {
    /// Membership.
    Member,
    /// Revisions and keys of the declaration.
    Revision,
    /// Load and health of targets, and work in flight.
    Load,
    /// Reconciliation of targets.
    Order,
    /// Tickets, keys and crash marks.
    Claim,
}

/// Counts control traffic between nodes; clones count together.
///
/// | metric | meaning |
/// |---|---|
/// | `control_messages_total{node,kind}` | messages sent |
/// | `control_bytes_total{node,kind}` | bytes of bodies sent, without HTTP heads and replies |
#[derive(Clone)]
pub struct ControlMetrics {
    node: String,
}

impl ControlMetrics {
    /// Creates the counters of a node.
    ///
    /// ```
    /// use node::{ControlKind, ControlMetrics};
    /// let metrics = ControlMetrics::new(&"balaju-1".parse().unwrap());
    /// metrics.count(ControlKind::Load, 120);
    /// ```
    pub fn new(node: &NodeName) -> Self {
        Self {
            node: node.to_string(),
        }
    }

    /// Counts a message of `bytes` bytes.
    pub fn count(&self, kind: ControlKind, bytes: usize) {
        let kind: &'static str = kind.into();
        let node = &self.node;
        counter!("control_messages_total", "node" => node.clone(), "kind" => kind).increment(1);
        let bytes = bytes as u64;
        counter!("control_bytes_total", "node" => node.clone(), "kind" => kind).increment(bytes);
    }
}
