use base::DomainName;
use fleet::RevisionStatus;
use orders::ConvergenceReport;

/// State of the fleet for operators.
#[derive(Clone, Debug)]
pub struct FleetStatus {
    /// Revisions.
    pub revision: RevisionStatus,
    /// Nodes of the own domain.
    pub nodes: Vec<member::NodeSnapshot>,
    /// Other domains and whether they can be reached.
    pub domains: Vec<(DomainName, bool)>,
    /// How far the membership view can be relied on.
    pub view_state: member::ViewState,
    /// Declared and actual state of the targets of the own domain.
    pub convergence: ConvergenceReport,
}
