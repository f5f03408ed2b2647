use base::{LabelSet, WorkspaceName};

/// One workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredWorkspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// SHA-256 of its bearer key.
    pub key_hash: [u8; 32],
    /// Labels that routes see.
    pub labels: LabelSet,
    /// Share when targets are full.
    pub weight: u32,
    /// Requests in flight at one node.
    pub streams: u32,
    /// Requests waiting at one node.
    pub queue: u32,
}
