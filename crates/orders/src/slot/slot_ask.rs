use serde::{Deserialize, Serialize};

use super::{HeldSlot, SlotWant};

/// What a node needs and what it holds; sent to the loader while either is not empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// Rises with every ask of one run of the node.
    pub number: u64,
    /// Needs, bounded in number.
    pub wants: Vec<SlotWant>,
    /// Leave held; the loader takes back what it granted before and does not find here.
    pub held: Vec<HeldSlot>,
}
