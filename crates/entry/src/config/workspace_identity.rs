use base::WorkspaceName;
use smol_str::SmolStr;

/// What a workspace is called within the fleet and by the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceIdentity {
    /// Name within the fleet.
    pub name: WorkspaceName,
    /// Name as the operators wrote it, which targets receive.
    pub label: SmolStr,
}
