use base::{DomainName, IncarnationNumber, NodeName, RevisionNumber, TargetName};
use orders::ConvergenceReport;
use serde::{Deserialize, Serialize};

use crate::{FleetStatus, LoadedVersion, NodeCore, TargetPhase};

/// State of a node and of its failure domain, as `/ops/status` returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusPage {
    /// Node that answers.
    pub node: NodeName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its run.
    pub incarnation: IncarnationNumber,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Requests in flight.
    pub running: usize,
    /// How far its membership view can be relied on.
    pub view_state: String,
    /// Revisions.
    pub revision: StatusRevision,
    /// Nodes of the domain.
    pub nodes: Vec<StatusNode>,
    /// Other domains and whether they can be reached.
    pub domains: Vec<(DomainName, bool)>,
    /// Targets of the domain.
    pub targets: Vec<StatusTarget>,
    /// Declared and actual state of the domain, and what holds it back.
    pub convergence: ConvergenceReport,
}

/// What a node knows of revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRevision {
    /// Revision in effect.
    pub accepted: Option<RevisionNumber>,
    /// What it rests on.
    pub basis: String,
    /// Whether this node watches the platform.
    pub reader: bool,
    /// Whether the platform does not answer this node.
    pub platform_lost: bool,
    /// Calls of the platform so far.
    pub platform_calls: u64,
    /// Newer revision that was rejected, with its mistakes.
    pub rejected: Option<(RevisionNumber, Vec<String>)>,
    /// Warnings of the revision in effect.
    pub warnings: Vec<String>,
}

/// One node of the domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusNode {
    /// Name.
    pub node: NodeName,
    /// Latest known run.
    pub incarnation: IncarnationNumber,
    /// State as the answering node sees it.
    pub state: String,
}

/// One target of the domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusTarget {
    /// Name.
    pub target: TargetName,
    /// Whether it may get work.
    pub phase: TargetPhase,
    /// Time in this phase in milliseconds.
    pub phase_age_ms: u64,
    /// Versions in memory.
    pub loaded: Vec<LoadedVersion>,
}

impl StatusPage {
    /// Creates the page of a node.
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
