use std::sync::Arc;

use base::{DomainName, NodeName};
use sched::RoutePolicy;
use strum::IntoEnumIterator;

use crate::baseline::{BaselinePolicy, SelectionRule};

/// What a policy is told about the node for which it is created.
#[derive(Clone, Debug)]
pub struct NodeContext {
    /// Name of the node.
    pub node: NodeName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Nodes of the domain in order of their names, this one included.
    pub peers: Vec<NodeName>,
    /// Seed for the policy's random choices, distinct for each node.
    pub seed: u64,
}

/// Creates the policy of one node.
pub type PolicyFactory = Arc<dyn Fn(&NodeContext) -> Box<dyn RoutePolicy> + Send + Sync>;

/// A policy that takes part in an experiment.
#[derive(Clone)]
pub struct PolicyEntry {
    /// Name in reports.
    pub name: String,
    /// Whether the other policies are compared with this one.
    pub baseline: bool,
    /// Creates an instance for a node.
    pub factory: PolicyFactory,
}

impl PolicyEntry {
    /// Creates an entry for a policy that is compared with the baselines.
    pub fn new(
        name: &str,
        factory: impl Fn(&NodeContext) -> Box<dyn RoutePolicy> + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.to_string(),
            baseline: false,
            factory: Arc::new(factory),
        }
    }

    /// Creates an entry for the baseline with this selection rule.
    pub fn for_baseline(rule: SelectionRule) -> Self {
        let factory = move |context: &NodeContext| -> Box<dyn RoutePolicy> {
            Box::new(BaselinePolicy::new(rule, context.seed))
        };
        Self {
            baseline: true,
            ..Self::new(&rule.to_string(), factory)
        }
    }

    /// Marks this entry as a baseline and returns it.
    #[must_use]
    pub fn as_baseline(mut self) -> Self {
        self.baseline = true;
        self
    }

    /// Entries of all built-in baselines.
    pub fn baselines() -> Vec<Self> {
        SelectionRule::iter().map(Self::for_baseline).collect()
    }
}
