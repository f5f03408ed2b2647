use base::WorkspaceName;
use smol_str::SmolStr;

/// A workspace with its keys and its priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Bearer keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Priority of its calls, which overrides that of the route.
    pub priority: Option<u8>,
}
