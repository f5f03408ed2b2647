use serde::{Deserialize, Serialize};

use super::{HeldPermit, WantedPermit};

/// The permits that a node wants and holds; sent to the permit coordinator while it wants or holds
/// any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Rises with every request of one incarnation of the node.
    pub number: u64,
    /// Permits wanted, bounded in number.
    pub wants: Vec<WantedPermit>,
    /// Permits held. The coordinator counts a permit as returned if it granted it for an earlier
    /// request and does not find it here.
    pub held: Vec<HeldPermit>,
}
