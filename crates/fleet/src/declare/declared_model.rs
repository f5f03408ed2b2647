use base::{ByteCount, LabelSet, ModelName};

/// One declared model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredModel {
    /// Name of the model.
    pub name: ModelName,
    /// Labels of the model.
    pub labels: LabelSet,
    /// Size of the weights of one version.
    pub weight_bytes: ByteCount,
    /// Whether a generation may be run again if it was lost before any of its output reached the
    /// caller.
    pub repeatable: bool,
}
