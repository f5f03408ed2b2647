use std::net::SocketAddr;

use base::{DomainName, RevisionNumber};
use node::StatusPage;
use orders::ConvergenceReport;
use serde::Serialize;

use super::StatusRow;
use crate::operator::NodeAnswer;

/// A named node that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SilentNode {
    /// Its operator address.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
}

/// The merged status of the nodes that were asked.
///
/// ```
/// let summary = agatemoor::FleetSummary::new(Vec::new());
/// assert!(!summary.converged, "no node says that the fleet has converged");
/// ```
#[derive(Clone, Debug, Serialize)]
pub struct FleetSummary {
    /// Whether the fleet is in its declared state, as far as it was asked.
    pub converged: bool,
    /// Newest revision in effect at a node that answered.
    pub revision: Option<RevisionNumber>,
    /// What blocks convergence at the nodes, in words; targets and rollouts are in `rows`.
    pub blocked: Vec<String>,
    /// Targets and rollouts, sorted by domain and name.
    pub rows: Vec<StatusRow>,
    /// Domains of which no node was asked or answered.
    pub missing_domains: Vec<DomainName>,
    /// Nodes that did not answer.
    pub silent: Vec<SilentNode>,
    /// Pages of the nodes that answered, sorted by domain and name.
    pub pages: Vec<StatusPage>,
}

impl FleetSummary {
    /// Merges the answers of all nodes asked.
    pub fn new(answers: Vec<NodeAnswer<StatusPage>>) -> Self {
        let mut pages = Vec::new();
        let mut silent = Vec::new();
        for answer in answers {
            match answer.result {
                Ok(page) => pages.push(page),
                Err(reason) => silent.push(SilentNode {
                    address: answer.address,
                    reason,
                }),
            }
        }
        pages.sort_by(|a: &StatusPage, b| (&a.domain, &a.node).cmp(&(&b.domain, &b.node)));
        let revision = pages.iter().filter_map(|page| page.revision.accepted).max();
        let rows = merge_rows(&pages);
        let blocked = find_blocks(&pages, &silent, revision);
        let settled = blocked.is_empty() && rows.iter().all(|row| row.converged);
        Self {
            converged: !pages.is_empty() && settled,
            revision,
            blocked,
            rows,
            missing_domains: find_missing(&pages),
            silent,
            pages,
        }
    }

    /// Does not count as converged unless a revision newer than `revision` is in effect.
    ///
    /// Right after a declaration was published, nodes may not yet know of it.
    pub fn require_after(&mut self, revision: RevisionNumber) {
        if self.revision.is_some_and(|own| own > revision) {
            return;
        }
        self.converged = false;
        let reason = format!("no node has a revision newer than {revision}");
        self.blocked.push(reason);
    }
}

/// Rows of the order boards, then those of targets that only probes observe.
fn merge_rows(pages: &[StatusPage]) -> Vec<StatusRow> {
    let reports = pages.iter().map(|page| page.convergence.clone());
    let report = reports.reduce(ConvergenceReport::merge).unwrap_or_default();
    let targets = report.targets.iter();
    let rollouts = report.rollouts.iter();
    let mut rows: Vec<StatusRow> = targets
        .map(|row| StatusRow::of_target(row, report.now))
        .chain(rollouts.map(|row| StatusRow::of_rollout(row, report.now)))
        .collect();
    for page in pages {
        for target in &page.targets {
            add_probe(&mut rows, StatusRow::of_probe(page, target));
        }
    }
    rows.sort_by(|a, b| (&a.domain, &a.subject).cmp(&(&b.domain, &b.subject)));
    rows
}

fn add_probe(rows: &mut Vec<StatusRow>, probe: StatusRow) {
    let same = |row: &&mut StatusRow| row.domain == probe.domain && row.subject == probe.subject;
    match rows.iter_mut().find(same) {
        Some(row) => row.note_probe(probe),
        None => rows.push(probe),
    }
}

fn find_blocks(
    pages: &[StatusPage],
    silent: &[SilentNode],
    newest: Option<RevisionNumber>,
) -> Vec<String> {
    let mut blocked = Vec::new();
    for SilentNode { address, reason } in silent {
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

fn find_missing(pages: &[StatusPage]) -> Vec<DomainName> {
    let known = pages.iter().flat_map(|page| &page.domains);
    let mut missing: Vec<DomainName> = known.map(|(domain, _)| domain.clone()).collect();
    missing.sort_unstable();
    missing.dedup();
    missing.retain(|domain| pages.iter().all(|page| page.domain != *domain));
    missing
}
