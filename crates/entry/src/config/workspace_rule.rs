use smol_str::SmolStr;

use super::WorkspaceIdentity;

/// A workspace with its keys and its priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceRule {
    /// Names of the workspace.
    pub identity: WorkspaceIdentity,
    /// Bearer keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Priority of its calls, which overrides that of the route.
    pub priority: Option<u8>,
}
