use base::TargetName;
use entry::GrantId;

/// Room on a target that a call got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineGrant {
    /// The target.
    pub target: TargetName,
    /// Present if the call is another node's.
    pub id: Option<GrantId>,
}
