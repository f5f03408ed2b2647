use base::{ClockTime, IncarnationNumber, NodeName};

use super::HeldPermit;

/// Permit that the permit coordinator counts as outstanding.
#[derive(Clone, Debug)]
pub struct LedgerEntry {
    /// Permit.
    pub permit: HeldPermit,
    /// Position of the target in the plan.
    pub position: usize,
    /// Node that holds the permit.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: IncarnationNumber,
    /// Number of the request in which the node asked for the permit.
    pub request: u64,
    /// Time after which the load is certainly over, used if the target can't be observed.
    pub load_deadline: ClockTime,
    /// When the node no longer holds the permit. The entry is dropped after a later observation
    /// shows that the target is not loading.
    pub returned_at: Option<ClockTime>,
    /// Whether that observation has been requested.
    pub probed: bool,
}
