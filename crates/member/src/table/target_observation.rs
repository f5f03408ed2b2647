use base::{DomainName, IncarnationNumber, TargetName};

use crate::TargetState;

/// Source of an observation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSource {
    /// The platform's list, which may be out of date.
    Platform,
    /// The target's answer to this node's health check, or a missing answer.
    HealthCheck,
}

/// State of a target as this node observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetObservation {
    /// Target that was observed.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Run of the target; `None` if the source does not report it.
    pub incarnation: Option<IncarnationNumber>,
    /// State that was observed.
    pub state: TargetState,
    /// Where the observation comes from.
    pub source: ObservationSource,
}
