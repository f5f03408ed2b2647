use base::TargetName;
use serde::{Deserialize, Serialize};

use super::HeldSlot;
use crate::BlockReason;

/// Leave granted to a node.
pub type SlotGrant = HeldSlot;

/// The loader's answer to one ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAnswer {
    /// Number of the ask; an answer to an earlier ask than the latest is void.
    pub ask: u64,
    /// Leave granted.
    pub grants: Vec<SlotGrant>,
    /// Needs not granted, with what stands in the way.
    pub refused: Vec<(TargetName, BlockReason)>,
}
