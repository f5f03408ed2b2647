use std::fmt;

use base::{ByteRate, ClockTime, IncarnationNumber, TargetName};
use serde::{Deserialize, Serialize};

use crate::{FencingNumber, OrderAction};

/// One order to one target, as the owner of the target sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrder {
    /// Target.
    pub target: TargetName,
    /// Incarnation of the target that the order was decided for.
    pub incarnation: IncarnationNumber,
    /// Fencing number, by which a target with fencing refuses out-of-date orders.
    pub fencing: FencingNumber,
    /// What the target is to do.
    pub action: OrderAction,
    /// Rate at which a load may read from the weight store.
    pub rate: Option<ByteRate>,
    /// When the order was decided, by the clock of the sending node.
    pub issued_at: ClockTime,
}

impl fmt::Display for TargetOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.target, self.action)?;
        match self.rate {
            Some(rate) => write!(f, " at {rate}"),
            None => Ok(()),
        }
    }
}
