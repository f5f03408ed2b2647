use base::ModelName;

use super::BlockReason;
use crate::OrderAction;

/// What an order needs before it may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepNeed {
    /// Nothing: it takes no capacity and no weights.
    Free,
    /// A share of the weight store.
    Slot,
    /// A share of the weight store, and leave to take the capacity of this model away for the
    /// time of the load.
    Swap(ModelName),
    /// Leave to take the capacity of this model away.
    Drain(ModelName),
}

/// What one target needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NeededStep {
    /// The target is in its declared state.
    Converged,
    /// Nothing can be ordered now.
    Blocked(BlockReason),
    /// This order is next; the position of its rollout, if it belongs to one, comes last.
    Order(OrderAction, StepNeed, Option<usize>),
}
