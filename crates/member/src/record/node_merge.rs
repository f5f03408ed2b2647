use base::IncarnationNumber;
use schema::member::{NodeRecord, NodeState};

/// Whether `new` replaces `old`, which it does if its (incarnation, version, state) is larger.
///
/// ```
/// use base::IncarnationNumber;
/// use schema::member::{NodeRecord, NodeState};
/// let suspect = NodeRecord {
///     node: "balaju-1".parse().unwrap(),
///     incarnation: IncarnationNumber(7),
///     version: 0,
///     state: NodeState::Suspect,
/// };
/// let refuted = NodeRecord { version: 1, state: NodeState::Alive, ..suspect.clone() };
/// assert!(member::node_outranks(&refuted, &suspect));
/// ```
pub fn node_outranks(new: &NodeRecord, old: &NodeRecord) -> bool {
    rank(new) > rank(old)
}

/// Merges two records of one node: returns the one that outranks the other.
pub fn merge_nodes(left: &NodeRecord, right: &NodeRecord) -> NodeRecord {
    if node_outranks(right, left) {
        return right.clone();
    }
    left.clone()
}

fn rank(record: &NodeRecord) -> (IncarnationNumber, u32, NodeState) {
    (record.incarnation, record.version, record.state)
}
