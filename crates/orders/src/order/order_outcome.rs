use smol_str::SmolStr;

use crate::FencingNumber;

/// Result of sending an order, as far as the sender can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target accepted the order.
    Accepted,
    /// The target has seen a higher fencing number, which is given if the target reported it.
    Refused(Option<FencingNumber>),
    /// The target answered with an error.
    Failed(SmolStr),
    /// No answer came; the target may or may not have received the order.
    Unknown,
    /// The order was not sent, because it was out of date when its turn came or the connection to
    /// the target failed.
    NotSent,
}
