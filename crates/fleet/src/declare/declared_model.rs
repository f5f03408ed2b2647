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
}
