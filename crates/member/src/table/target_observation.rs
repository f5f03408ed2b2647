use base::{DomainName, IncarnationNumber, TargetName};

use crate::TargetState;

/// Where an observation of a target comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSource {
    /// The platform's list, which lags.
    Platform,
    /// The target's own answer to this node, or its silence.
    Health,
}

/// What this node found out about a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetObservation {
    /// Target that was observed.
    pub target: TargetName,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Run of the target; `None` if the source does not tell it.
    pub incarnation: Option<IncarnationNumber>,
    /// State that was observed.
    pub state: TargetState,
    /// Where the observation comes from.
    pub source: ObservationSource,
}
