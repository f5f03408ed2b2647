use smol_str::SmolStr;

use crate::FencingNumber;

/// What became of an order, as far as the sender can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target took the order.
    Taken,
    /// The target has seen a higher fencing number, which it may mention.
    Refused(Option<FencingNumber>),
    /// The target answered with an error.
    Failed(SmolStr),
    /// No answer came; the target may or may not have taken the order.
    Unknown,
    /// The order was not sent, since it was too old when its turn came.
    NotSent,
}
