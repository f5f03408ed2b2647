use std::sync::Arc;

use base::{DomainName, NodeName};
use sched::RoutePolicy;
use strum::IntoEnumIterator;

use crate::baseline::{BaselinePolicy, ChoiceRule};

/// The node for which a policy is created.
#[derive(Clone, Debug)]
pub struct NodeSeat {
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
pub type PolicyFactory = Arc<dyn Fn(&NodeSeat) -> Box<dyn RoutePolicy> + Send + Sync>;

/// A policy that takes part in an experiment.
#[derive(Clone)]
pub struct PolicyEntry {
    /// Name in reports.
    pub name: String,
    /// Whether the others are compared with it.
    pub baseline: bool,
    /// Creates its instances.
    pub factory: PolicyFactory,
}

impl PolicyEntry {
    /// Creates an entry for a policy that is compared with the baselines.
    pub fn new(
        name: &str,
        factory: impl Fn(&NodeSeat) -> Box<dyn RoutePolicy> + Send + Sync + 'static,
    ) -> Self {
        Self {
            name: name.to_string(),
            baseline: false,
            factory: Arc::new(factory),
        }
    }

    /// Creates an entry for a baseline.
    pub fn with_rule(rule: ChoiceRule) -> Self {
        let factory = move |seat: &NodeSeat| -> Box<dyn RoutePolicy> {
            Box::new(BaselinePolicy::new(rule, seat.seed))
        };
        Self {
            baseline: true,
            ..Self::new(&rule.to_string(), factory)
        }
    }

    /// Returns this entry as a baseline.
    #[must_use]
    pub fn as_baseline(mut self) -> Self {
        self.baseline = true;
        self
    }

    /// All baselines.
    pub fn baselines() -> Vec<Self> {
        ChoiceRule::iter().map(Self::with_rule).collect()
    }
}
