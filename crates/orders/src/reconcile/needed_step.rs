use base::ModelName;

use super::BlockReason;
use crate::OrderAction;

/// Permit that an order needs before it may be sent; the domain's permit coordinator grants it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequiredPermit {
    /// No permit: the order neither reads weights nor takes a model out of service.
    None,
    /// Permit to read weights from the weight store.
    Load,
    /// Permit to read weights from the weight store, and to take this model out of service on the
    /// target until the load is finished.
    Swap(ModelName),
    /// Permit to take this model out of service on the target.
    Drain(ModelName),
}

/// Result of comparing the declared and the actual state of one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NeededStep {
    /// The target is in its declared state.
    Converged,
    /// The target is not in its declared state, but no order may be sent now.
    Blocked(BlockReason),
    /// Order to send next, the permit it needs, and the position of the rollout it belongs to.
    Order(OrderAction, RequiredPermit, Option<usize>),
}
