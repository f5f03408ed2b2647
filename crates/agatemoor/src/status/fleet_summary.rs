use std::net::SocketAddr;

use base::{DomainName, RevisionNumber};
use node::StatusPage;
use orders::ConvergenceReport;
use serde::Serialize;

use super::StatusRow;
use crate::operator::NodeResponse;

/// A queried node that did not respond.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UnreachableNode {
    /// Operator address of the node.
    pub address: SocketAddr,
    /// Error message of the query.
    pub reason: String,
}

/// Merged status of the queried nodes.
///
/// ```
/// let summary = agatemoor::FleetSummary::new(Vec::new());
/// assert!(!summary.converged, "no node has reported convergence");
/// ```
#[derive(Clone, Debug, Serialize)]
pub struct FleetSummary {
    /// Whether everything that the queried nodes report is in its declared state.
    pub converged: bool,
    /// Newest revision that a responding node has accepted.
    pub revision: Option<RevisionNumber>,
    /// Messages about what blocks convergence at the nodes; targets and rollouts are in `rows`.
    pub blocked: Vec<String>,
    /// Targets and rollouts, sorted by domain and name.
    pub rows: Vec<StatusRow>,
    /// Domains of which no node was queried or none responded.
    pub missing_domains: Vec<DomainName>,
    /// Nodes that did not respond.
    #[serde(rename = "silent")]
    pub unreachable: Vec<UnreachableNode>,
    /// Status pages of the nodes that responded, sorted by domain and name.
    pub pages: Vec<StatusPage>,
}

impl FleetSummary {
    /// Merges the responses of all queried nodes.
    pub fn new(responses: Vec<NodeResponse<StatusPage>>) -> Self {
        let mut pages = Vec::new();
        let mut unreachable = Vec::new();
        for response in responses {
            match response.result {
                Ok(page) => pages.push(page),
                Err(reason) => unreachable.push(UnreachableNode {
                    address: response.address,
                    reason,
                }),
            }
        }
        pages.sort_by(|a: &StatusPage, b| (&a.domain, &a.node).cmp(&(&b.domain, &b.node)));
        let revision = pages.iter().filter_map(|page| page.revision.accepted).max();
        let rows = merge_rows(&pages);
        let blocked = find_blockers(&pages, &unreachable, revision);
        let nothing_blocked = blocked.is_empty() && rows.iter().all(|row| row.converged);
        Self {
            converged: !pages.is_empty() && nothing_blocked,
            revision,
            blocked,
            rows,
            missing_domains: find_missing_domains(&pages),
            unreachable,
            pages,
        }
    }

    /// Marks the fleet as not converged unless a node has accepted a revision after `revision`.
    ///
    /// Right after a declaration was published, nodes may not have read it yet and still report
    /// convergence to the previous one.
    pub fn require_after(&mut self, revision: RevisionNumber) {
        if self.revision.is_some_and(|accepted| accepted > revision) {
            return;
        }
        self.converged = false;
        let reason = format!("no node has a revision newer than {revision}");
        self.blocked.push(reason);
    }
}

/// Rows of the convergence reports, merged with the probe results of the nodes.
fn merge_rows(pages: &[StatusPage]) -> Vec<StatusRow> {
    let reports = pages.iter().map(|page| page.convergence.clone());
    let report = reports.reduce(ConvergenceReport::merge).unwrap_or_default();
    let targets = report.targets.iter();
    let rollouts = report.rollouts.iter();
    let mut rows: Vec<StatusRow> = targets
        .map(|row| StatusRow::from_target_row(row, report.now))
        .chain(rollouts.map(|row| StatusRow::from_rollout_row(row, report.now)))
        .collect();
    for page in pages {
        for target in &page.targets {
            merge_probe(&mut rows, StatusRow::from_probe(page, target));
        }
    }
    rows.sort_by(|a, b| (&a.domain, &a.subject).cmp(&(&b.domain, &b.subject)));
    rows
}

fn merge_probe(rows: &mut Vec<StatusRow>, probe: StatusRow) {
    let same = |row: &&mut StatusRow| row.domain == probe.domain && row.subject == probe.subject;
    match rows.iter_mut().find(same) {
        Some(row) => row.apply_probe(probe),
        None => rows.push(probe),
    }
}

fn find_blockers(
    pages: &[StatusPage],
    unreachable: &[UnreachableNode],
    newest: Option<RevisionNumber>,
) -> Vec<String> {
    let mut blocked = Vec::new();
    for UnreachableNode { address, reason } in unreachable {
        blocked.push(format!("node at {address} does not answer: {reason}"));
    }
    for page in pages {
        let node = &page.node;
        if page.stopping {
            blocked.push(format!("node {node} is stopping"));
        } else if !page.ready {
            blocked.push(format!("node {node} is not ready"));
        }
        match (page.revision.accepted, newest) {
            (None, _) => blocked.push(format!("node {node} has no accepted revision")),
            (Some(own), Some(newest)) if own < newest => {
                blocked.push(format!("node {node} has revision {own}, others {newest}"));
            }
            _ => {}
        }
        if let Some((rejected, mistakes)) = &page.revision.rejected
            && Some(*rejected) > page.revision.accepted
        {
            let count = mistakes.len();
            blocked.push(format!(
                "node {node} rejected revision {rejected} for {count} mistakes"
            ));
        }
    }
    blocked
}

fn find_missing_domains(pages: &[StatusPage]) -> Vec<DomainName> {
    let known = pages.iter().flat_map(|page| &page.domains);
    let mut missing: Vec<DomainName> = known.map(|(domain, _)| domain.clone()).collect();
    missing.sort_unstable();
    missing.dedup();
    missing.retain(|domain| pages.iter().all(|page| page.domain != *domain));
    missing
}
