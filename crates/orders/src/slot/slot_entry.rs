use base::{ClockTime, IncarnationNumber, NodeName};

use super::HeldSlot;

/// Leave that the loader counts as outstanding.
#[derive(Clone, Debug)]
pub struct SlotEntry {
    /// Leave.
    pub slot: HeldSlot,
    /// Position of the target in the plan.
    pub position: usize,
    /// Node that has it.
    pub node: NodeName,
    /// Run of the node.
    pub run: IncarnationNumber,
    /// Ask that it answers.
    pub ask: u64,
    /// When the load is certainly over although the target can't be observed.
    pub until: ClockTime,
    /// From when the node no longer has it; an observation after that settles the matter.
    pub returned_at: Option<ClockTime>,
    /// Whether that observation has been asked for.
    pub probed: bool,
}
