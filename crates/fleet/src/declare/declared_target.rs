use std::net::SocketAddr;

use base::{DomainName, LabelSet, ServiceName, TargetName};

use super::{EngineRole, TargetKind};

/// One target: a model engine or one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Engine or service.
    pub kind: TargetKind,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Address and port of the target.
    pub address: SocketAddr,
    /// Declared labels together with `target`, `kind`, `domain` and, if set, `service`.
    pub labels: LabelSet,
    /// Service of a target of kind service.
    pub service: Option<ServiceName>,
    /// Wanted role of a target of kind engine.
    pub role: Option<EngineRole>,
    /// Whether the target refuses orders with an old fencing number.
    pub fencing: bool,
}

impl DeclaredTarget {
    /// Returns the labels with those of `overlay` set over them.
    pub fn labels_with(&self, overlay: &LabelSet) -> LabelSet {
        overlay
            .iter()
            .fold(self.labels.clone(), |labels, (key, value)| {
                labels.with_label(key, value)
            })
    }
}
