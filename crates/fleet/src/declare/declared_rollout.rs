use base::{AdapterName, LabelSelector, ModelName, VersionName};
use smol_str::SmolStr;

/// One declared rollout: the wanted version of a model on the engines that a selector matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredRollout {
    /// Name of the rollout.
    pub name: SmolStr,
    /// Model that is rolled out.
    pub model: ModelName,
    /// Wanted version.
    pub version: VersionName,
    /// Wanted adapters, sorted.
    pub adapters: Vec<AdapterName>,
    /// Selector over the declared labels of the engines that are to serve the version. Labels
    /// that follow from an engine's state are left out, since the rollout itself changes them.
    pub targets: LabelSelector,
    /// Least percentage of the selected engines of a domain that keep serving the model during
    /// the rollout.
    pub least_capacity: u8,
    /// Number of targets that may fail on the version before the rollout halts.
    pub failure_limit: u32,
}
