use std::net::SocketAddr;

use base::{DomainName, LabelSet, ServiceName, TargetName};

use super::{EngineRole, TargetKind};

/// One declared target: a model engine or one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Whether the target is an engine or a service instance.
    pub kind: TargetKind,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Address and port of the target.
    pub address: SocketAddr,
    /// Declared labels together with `target`, `kind`, `domain` and, if set, `service`.
    pub labels: LabelSet,
    /// Service that the target is an instance of; only for a target of kind service.
    pub service: Option<ServiceName>,
    /// Wanted role; only for a target of kind engine.
    pub role: Option<EngineRole>,
    /// Whether the target refuses orders with an old fencing number.
    pub fencing: bool,
}

impl DeclaredTarget {
    /// Returns the declared labels, overridden and extended by `state_labels`.
    pub fn labels_with_state(&self, state_labels: &LabelSet) -> LabelSet {
        state_labels
            .iter()
            .fold(self.labels.clone(), |labels, (key, value)| {
                labels.with_label(key, value)
            })
    }
}
