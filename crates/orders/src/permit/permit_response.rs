use base::TargetName;
use serde::{Deserialize, Serialize};

use super::HeldPermit;
use crate::BlockReason;

/// Permit granted to a node.
pub type PermitGrant = HeldPermit;

/// The permit coordinator's response to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Number of the request. The node ignores a response to any but its latest request.
    #[serde(rename = "ask")]
    pub request: u64,
    /// Permits granted.
    pub grants: Vec<PermitGrant>,
    /// Targets whose permits were refused, with the reasons.
    pub refused: Vec<(TargetName, BlockReason)>,
}
