use base::{AdapterName, LabelSelector, ModelName, VersionName};
use smol_str::SmolStr;

/// The wanted version of a model on the engines that a selector names.
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
    /// Selector over the declared labels of the engines that are to serve the version; their
    /// actual state plays no part, or else a rollout would change what it selects.
    pub targets: LabelSelector,
    /// Engines of a domain that keep serving the model throughout, in percent of those selected.
    pub least_capacity: u8,
    /// Targets that may fail on the version before its rollout stops.
    pub failure_limit: u32,
}
