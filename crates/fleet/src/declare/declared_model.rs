use base::{ByteCount, LabelSet, ModelName};

/// One model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredModel {
    /// Name of the model.
    pub name: ModelName,
    /// Labels of the model.
    pub labels: LabelSet,
    /// Size of the weights of one version.
    pub weight_bytes: ByteCount,
    /// Whether a generation that was lost before its caller got a part of it may be run again.
    pub repeatable: bool,
}
