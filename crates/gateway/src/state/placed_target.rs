use base::TargetName;
use entry::GrantId;

/// Target that was chosen for a call and counts the load of the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedTarget {
    /// The target.
    pub target: TargetName,
    /// Grant under which the load is counted if another node requested the target; `None` for a call
    /// of this node.
    pub grant_id: Option<GrantId>,
}
