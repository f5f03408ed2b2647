use base::DomainName;
use fleet::RevisionStatus;
use orders::ConvergenceReport;

/// State of the fleet as this node knows it, for the status page and the rest of the node.
#[derive(Clone, Debug)]
pub struct FleetStatus {
    /// Accepted and rejected revisions of the declaration.
    pub revision: RevisionStatus,
    /// Nodes of this node's domain.
    pub nodes: Vec<member::NodeSnapshot>,
    /// Failure domains and whether they can be reached.
    pub domains: Vec<(DomainName, bool)>,
    /// How reliable the membership view is.
    pub view_state: member::ViewState,
    /// Declared and actual state of the targets of this node's domain.
    pub convergence: ConvergenceReport,
}
