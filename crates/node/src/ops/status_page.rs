use base::{DomainName, IncarnationNumber, NodeName, RevisionNumber, TargetName};
use orders::ConvergenceReport;
use serde::{Deserialize, Serialize};

use crate::{FleetStatus, LoadedVersion, NodeCore, TargetPhase};

/// Response of `/ops/status`: state of a node and its view of its failure domain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusPage {
    /// Name of the node.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Number of requests in flight.
    pub running: usize,
    /// Whether a peer has confirmed its membership view.
    pub view_state: String,
    /// Revision of the declaration that it has in effect.
    pub revision: StatusRevision,
    /// Nodes of the domain.
    pub nodes: Vec<StatusNode>,
    /// Other domains and whether they can be reached.
    pub domains: Vec<(DomainName, bool)>,
    /// Targets of the domain.
    pub targets: Vec<StatusTarget>,
    /// Declared and actual state of the domain, and what delays their convergence.
    pub convergence: ConvergenceReport,
}

/// Revision of the declaration that a node has in effect, and its access to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRevision {
    /// Revision in effect.
    pub accepted: Option<RevisionNumber>,
    /// Whether the peers and the platform confirm that it is current.
    pub basis: String,
    /// Whether this node watches the platform.
    pub reader: bool,
    /// Whether the platform does not answer this node.
    pub platform_lost: bool,
    /// Number of requests to the platform since the node started.
    pub platform_calls: u64,
    /// Newer revision that was rejected, with the mistakes found in it.
    pub rejected: Option<(RevisionNumber, Vec<String>)>,
    /// Warnings of the revision in effect.
    pub warnings: Vec<String>,
}

/// A node of the domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusNode {
    /// Name.
    pub node: NodeName,
    /// Latest known incarnation.
    pub incarnation: IncarnationNumber,
    /// Membership state as the answering node sees it.
    pub state: String,
}

/// A target of the domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusTarget {
    /// Name.
    pub target: TargetName,
    /// Phase, which says whether it may get requests.
    pub phase: TargetPhase,
    /// Time in this phase in milliseconds.
    pub phase_age_ms: u64,
    /// Model versions that it has in memory.
    pub loaded: Vec<LoadedVersion>,
}

impl StatusPage {
    /// Creates the page from the node's state and the status of its fleet actor.
    pub fn new(core: &NodeCore, status: FleetStatus) -> Self {
        let view = core.view.get();
        let now = core.clock.now();
        let targets = view.targets.iter().map(|entry| StatusTarget {
            target: entry.target.clone(),
            phase: entry.phase,
            phase_age_ms: (now - entry.phase_since).as_millis(),
            loaded: entry
                .health
                .as_ref()
                .map(|health| health.loaded.clone())
                .unwrap_or_default(),
        });
        let nodes = status.nodes.into_iter().map(|node| StatusNode {
            node: node.node,
            incarnation: node.incarnation,
            state: node.state.to_string(),
        });
        Self {
            node: core.identity.node.clone(),
            domain: core.identity.domain.clone(),
            incarnation: core.identity.incarnation,
            ready: core.is_ready(),
            stopping: core.gate.is_closed(),
            running: core.gate.running(),
            view_state: status.view_state.to_string(),
            nodes: nodes.collect(),
            domains: status.domains,
            convergence: status.convergence,
            targets: targets.collect(),
            revision: revision_status(status.revision),
        }
    }
}

fn revision_status(status: fleet::RevisionStatus) -> StatusRevision {
    let rejected = status.rejected.map(|rejected| {
        let mistakes = rejected.mistakes.iter().map(ToString::to_string);
        (rejected.stamp.revision, mistakes.collect())
    });
    StatusRevision {
        accepted: status.accepted.map(|stamp| stamp.revision),
        basis: status.basis.to_string(),
        reader: status.is_reader,
        platform_lost: status.platform_lost,
        platform_calls: status.platform_calls,
        rejected,
        warnings: status.warnings.iter().map(ToString::to_string).collect(),
    }
}
