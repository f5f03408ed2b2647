use base::{LabelSet, WorkspaceName};

/// One declared workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// SHA-256 of the bearer key.
    pub key_hash: [u8; 32],
    /// Labels that its requests carry when routes are matched.
    pub labels: LabelSet,
    /// Share of the capacity, relative to other workspaces, when targets are full.
    pub weight: u32,
    /// Most requests in flight at one node.
    pub streams: u32,
    /// Most requests waiting at one node.
    pub queue: u32,
}
