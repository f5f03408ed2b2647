use base::NodeName;
use metrics::counter;
use strum::IntoStaticStr;

/// Purpose of a control message between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ControlKind {
    /// Gossip about membership.
    Member,
    /// Revisions and keys of the declaration.
    Revision,
    /// Load and health of targets, and work in flight.
    Load,
    /// Messages of the reconcilers, which reconcile targets with the declaration.
    Order,
    /// Tickets, idempotency keys and crash marks.
    Claim,
}

/// Metrics of the control messages that one node sends; clones update the same metrics.
///
/// | metric | meaning |
/// |---|---|
/// | `control_messages_total{node,kind}` | messages sent |
/// | `control_bytes_total{node,kind}` | bytes of bodies sent, without HTTP heads and responses |
#[derive(Clone)]
pub struct ControlMetrics {
    node: String,
}

impl ControlMetrics {
    /// Creates the metrics of a node.
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

    /// Counts a sent message whose body has `bytes` bytes.
    pub fn count(&self, kind: ControlKind, bytes: usize) {
        let kind: &'static str = kind.into();
        let node = &self.node;
        counter!("control_messages_total", "node" => node.clone(), "kind" => kind).increment(1);
        let bytes = bytes as u64;
        counter!("control_bytes_total", "node" => node.clone(), "kind" => kind).increment(bytes);
    }
}
