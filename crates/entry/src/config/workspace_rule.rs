use base::WorkspaceName;
use smol_str::SmolStr;

/// A workspace, its keys and its rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Keys that its callers present.
    pub keys: Vec<SmolStr>,
    /// Rank that goes before the one of the route.
    pub priority: Option<u8>,
}
